"""Selects the VMs that a request is passed on to."""

__all__ = ('RelayVm', 'select_relays')

import random
from collections.abc import Sequence
from dataclasses import dataclass

from zinniaturn.http1.connections import Address

_MOST_RELAYS = 3
# A VM without room to spare is chosen as rarely as one with this share of it.
_LEAST_SPARE_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class RelayVm:
    """
    A VM that may take a request.

    ``capacity`` and ``load`` are in requests per second; a capacity of 0 is not
    known. With ``knows_tenants`` it asks for tenants' keys, and never sends one
    to a server.
    """

    name: str
    address: Address
    capacity: int = 0
    load: int = 0
    knows_tenants: bool = False

    @property
    def weight(self) -> float:
        """Return how often the VM is chosen in comparison with others."""
        least = max(1, self.capacity * _LEAST_SPARE_SHARE)
        return max(least, self.capacity - self.load)


def select_relays(
    vms: Sequence[RelayVm], random_source: random.Random
) -> list[RelayVm]:
    """
    Return up to three different VMs, in the order in which to try them.

    A VM with more room to spare comes first more often, so that the requests
    of many VMs don't all go to the same ones.
    """
    ordered = sorted(
        vms,
        key=lambda vm: random_source.random() ** (1 / vm.weight),
        reverse=True,
    )
    return ordered[:_MOST_RELAYS]
