"""Which addresses a caller is told, and for how long."""

__all__ = ('AddressSelector', 'vms_for_demand')

import random
from collections.abc import Sequence
from dataclasses import dataclass

from zinniaturn.fleet.domain import VmRecord
from zinniaturn.fleet.vms import rank_key

_MOST_ADDRESSES = 64
_FEWEST_VMS = 6
_ALIKE_SHARE = 0.7
_HEADROOM_FACTOR = 2.0


@dataclass(slots=True)
class AddressSelector:
    """
    Spreads callers over the VMs that are good for them.

    The lifetime is short enough that callers learn of a stopping VM while it
    still serves them.
    """

    source: random.Random
    lifetime_seconds: float = 2.0
    most: int = _MOST_ADDRESSES

    def select(self, vms: Sequence[VmRecord], demand: float) -> list[str]:
        """Return addresses in random order, at most the number allowed."""
        fronts = [vm.front for vm in vms_for_demand(vms, demand)]
        return self.source.sample(fronts, min(self.most, len(fronts)))


def vms_for_demand(vms: Sequence[VmRecord], demand: float) -> list[VmRecord]:
    """
    Return the largest VMs, as many as carry the demand with room to spare.

    This answers fleets of unlike VMs. A large answer fills a small VM's link
    for a tenth of a second or more, in which its probes and other answers wait;
    and the fewer VMs choose, the more each knows of the servers. VMs that are
    about as large as the largest are all named, also where fewer would do.
    ``demand`` is in requests a second.
    """
    if not all(vm.capacity for vm in vms):
        return list(vms)
    largest = max((vm.capacity for vm in vms), default=0)
    ordered = sorted(
        vms,
        key=lambda vm: (-vm.capacity, rank_key(vm.name)),
    )
    chosen: list[VmRecord] = []
    carried = 0
    for vm in ordered:
        is_needed = (
            len(chosen) < _FEWEST_VMS or carried < demand * _HEADROOM_FACTOR
        )
        if not is_needed and vm.capacity < largest * _ALIKE_SHARE:
            break
        chosen.append(vm)
        carried += vm.capacity
    return chosen
