"""Selects the VM addresses that a look-up returns to a caller."""

__all__ = (
    'AddressSelector',
    'demand_step',
    'vms_for_demand',
    'vms_up_to_date',
    'vms_with_paths',
)

import math
import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from zinniaturn.fleet.alive_vms import rank_key
from zinniaturn.fleet.domain import VmRecord

_MOST_ADDRESSES = 64
_FEWEST_VMS = 6
# VMs with at least this share of the largest capacity count as equally large.
_EQUAL_CAPACITY_SHARE = 0.7
_CAPACITY_TO_DEMAND_RATIO = 2.0
_DEMAND_STEP = 1.25


@dataclass(slots=True)
class AddressSelector:
    """
    Spreads callers over the VMs that are large enough for them.

    ``lifetime_seconds`` is how long callers may use the addresses. It is short
    enough that they learn of a stopping VM while that VM still serves them.
    """

    random_source: random.Random
    lifetime_seconds: float = 2.0
    max_addresses: int = _MOST_ADDRESSES

    def select(self, vms: Sequence[VmRecord]) -> list[str]:
        """Return at most ``max_addresses`` addresses in random order."""
        chosen = self.random_source.sample(
            vms, min(self.max_addresses, len(vms))
        )
        return [vm.front for vm in chosen]


def demand_step(demand: float) -> float:
    """
    Return the demand, rounded up to a step of a quarter.

    >>> [round(demand_step(demand), 1) for demand in (0, 100, 105, 130)]
    [0, 116.4, 116.4, 145.5]
    """
    if not demand or math.isinf(demand):
        return demand
    steps = math.ceil(math.log(demand, _DEMAND_STEP))
    return float(_DEMAND_STEP**steps)


def vms_up_to_date(
    vms: Sequence[VmRecord], outdated: Collection[str]
) -> Sequence[VmRecord]:
    """
    Return the VMs whose tables are fresh enough to serve tenants for a while.

    ``outdated`` names the others. They are returned if there are no better
    ones, since they still serve public routes.
    """
    return [vm for vm in vms if vm.name not in outdated] or vms


def vms_with_paths(
    vms: Sequence[VmRecord], cut_off: Collection[str], demand: float
) -> Sequence[VmRecord]:
    """
    Return the VMs that have not lost their path to any pool.

    ``cut_off`` names those that have. Requests that they pass on are carried by
    the others all the same, with a hop more. If the others can't carry the
    ``demand``, all VMs are returned: what is too much is then rejected by many
    VMs, and not by a few that have to serve as well.
    """
    others = [vm for vm in vms if vm.name not in cut_off]
    if not others:
        return vms
    capacities = [vm.capacity for vm in others]
    is_enough = not all(capacities) or sum(capacities) >= demand
    return others if is_enough or math.isinf(demand) else vms


def vms_for_demand(vms: Sequence[VmRecord], demand: float) -> list[VmRecord]:
    """
    Return the largest VMs, as many as carry the demand with headroom.

    VMs differ in size. One large response occupies a small VM's link for a
    tenth of a second or more, during which its probes and other responses
    wait. Fewer VMs also means that each sees more requests and so knows more
    of the servers. All VMs of about the largest size are returned, even where
    fewer would do, and all VMs where the capacity of one is not known.
    ``demand`` is in requests per second.
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
            len(chosen) < _FEWEST_VMS
            or carried < demand * _CAPACITY_TO_DEMAND_RATIO
        )
        if not is_needed and vm.capacity < largest * _EQUAL_CAPACITY_SHARE:
            break
        chosen.append(vm)
        carried += vm.capacity
    return chosen
