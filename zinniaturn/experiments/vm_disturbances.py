"""Disturbances of VMs that random days in virtual time share."""

__all__ = (
    'CONTACT_SECONDS',
    'DisturbedTimes',
    'is_near',
    'note_disturbed',
    'pause',
    'separate',
)

import random
from collections.abc import Iterable

from zinniaturn.experiments.gossip_model import GossipModel

# A VM that was disturbed may miss what others do for this time.
CONTACT_SECONDS = 3.0

# The times at which each VM was disturbed, by its name.
DisturbedTimes = dict[str, list[float]]


def note_disturbed(
    disturbed: DisturbedTimes, vm: str, now: float, seconds: float
) -> None:
    """Note a disturbance that begins now."""
    disturbed.setdefault(vm, []).extend((now, now + seconds))


def is_near(moment: float, times: Iterable[float]) -> bool:
    """Return whether a VM was disturbed around a moment."""
    return any(at - 1 < moment < at + CONTACT_SECONDS for at in times)


def pause(
    fleet: GossipModel, source: random.Random, disturbed: DisturbedTimes
) -> None:
    """Suspend a VM for up to four seconds."""
    vm = source.choice(fleet.vms)
    seconds = source.uniform(0.2, 4)
    fleet.pause(vm, seconds)
    note_disturbed(disturbed, vm.name, fleet.clock.monotonic(), seconds)


def separate(
    fleet: GossipModel, source: random.Random, disturbed: DisturbedTimes
) -> None:
    """Cut a VM off from the other VMs."""
    vm = source.choice(fleet.vms)
    seconds = source.uniform(0.5, 4)
    vm.side = 1

    def join() -> None:
        vm.side = 0

    fleet.schedule(seconds, join)
    note_disturbed(disturbed, vm.name, fleet.clock.monotonic(), seconds)
