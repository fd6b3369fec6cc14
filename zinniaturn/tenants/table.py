"""
The tenants of a configuration and the keys that belong to them.

Keys are secrets. They are compared and never shown, so that neither a log line
nor an error may name one: no type here has a key in its ``repr``.
"""

__all__ = ('Tenant', 'TenantTable')

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Tenant:
    """
    A customer whose programs send requests with keys.

    ``priority`` replaces that of the route, ``None`` leaves it as it is.
    ``requests_per_second`` and ``burst`` are the allowance over all VMs;
    without a rate there is no limit.
    """

    name: str
    priority: int | None = None
    requests_per_second: float = 0
    burst: float = 0

    @property
    def is_limited(self) -> bool:
        """Return whether the tenant has an allowance."""
        return self.requests_per_second > 0


@dataclass(frozen=True, slots=True)
class TenantTable:
    """
    The tenants of one configuration.

    >>> table = TenantTable.build([(Tenant('a'), [b'key'])])
    >>> table.find(b'key').name, table.find(b'other')
    ('a', None)
    """

    by_key: Mapping[bytes, Tenant] = field(default_factory=dict, repr=False)

    @classmethod
    def build(
        cls, rows: Iterable[tuple[Tenant, Iterable[bytes]]]
    ) -> 'TenantTable':
        """Return the table of these tenants with their keys."""
        return cls({key: tenant for tenant, keys in rows for key in keys})

    def find(self, key: bytes) -> Tenant | None:
        """Return the tenant that holds a key, in constant time."""
        return self.by_key.get(key)
