"""
Limit on open file descriptors, checked at the start.

Each caller connection needs a descriptor, and each request in flight another
one for the connection to a backend server.
"""

__all__ = ('DescriptorBudget', 'raise_descriptor_limit')

import resource
from dataclasses import dataclass

_RESERVED_DESCRIPTORS = 256
_DESCRIPTORS_PER_CONNECTION = 2


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """
    The number of caller connections that the descriptor limit allows.

    >>> DescriptorBudget(1024).allowed_connections(10_000)
    384
    """

    limit: int

    def allowed_connections(self, wanted: int) -> int:
        """Return ``wanted`` or as many as fit, but at least one."""
        affordable = (
            self.limit - _RESERVED_DESCRIPTORS
        ) // _DESCRIPTORS_PER_CONNECTION
        return max(1, min(wanted, affordable))


def raise_descriptor_limit() -> DescriptorBudget:
    """Raise the soft limit to the hard limit and return the budget."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return DescriptorBudget(hard)
