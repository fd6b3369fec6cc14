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

    ``without_keys`` are those that can't send requests, as they have no key.

    >>> table = TenantTable.build([(Tenant('a'), [b'key'])])
    >>> table.find(b'key').name, table.find(b'other')
    ('a', None)
    """

    by_key: Mapping[bytes, Tenant] = field(default_factory=dict, repr=False)
    without_keys: tuple[Tenant, ...] = ()

    @classmethod
    def build(
        cls, rows: Iterable[tuple[Tenant, Iterable[bytes]]]
    ) -> 'TenantTable':
        """Return the table of these tenants with their keys."""
        return cls({key: tenant for tenant, keys in rows for key in keys})

    def key_counts(self) -> dict[str, tuple[Tenant, int]]:
        """
        Return each tenant by name, with its number of keys.

        Work: a step for each key.
        """
        counts = {tenant.name: (tenant, 0) for tenant in self.without_keys}
        for tenant in self.by_key.values():
            known = counts.get(tenant.name, (tenant, 0))
            counts[tenant.name] = tenant, known[1] + 1
        return counts

    def find_by_name(self, name: str) -> Tenant | None:
        """Return the tenant of a name that has a key; a step for each key."""
        for tenant in self.by_key.values():
            if tenant.name == name:
                return tenant
        return None

    def find(self, key: bytes) -> Tenant | None:
        """Return the tenant that holds a key, in constant time."""
        return self.by_key.get(key)
