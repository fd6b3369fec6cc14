"""
The limit on open files, checked at the start.

Each caller's connection needs a descriptor, and each request in flight one to
a backend server.
"""

__all__ = ('DescriptorBudget', 'raise_descriptor_limit')

import resource
from dataclasses import dataclass

_RESERVED = 256
_PER_CONNECTION = 2


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """
    How many connections from callers the limit allows.

    >>> DescriptorBudget(1024).allowed_connections(10_000)
    384
    """

    limit: int

    def allowed_connections(self, wanted: int) -> int:
        """Return ``wanted`` or as many as fit, at least one."""
        fitting = (self.limit - _RESERVED) // _PER_CONNECTION
        return max(1, min(wanted, fitting))


def raise_descriptor_limit() -> DescriptorBudget:
    """Raise the soft limit to the hard one and return what there is."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return DescriptorBudget(hard)
