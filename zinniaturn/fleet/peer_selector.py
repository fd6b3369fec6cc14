"""
Selects which VMs a VM pings next, and to which it pushes its news.

Every VM that is alive has its turn to be pinged, in a random order. Where bytes
between data centres count, a VM of another one is left out of most rounds, and
most pushes go to VMs of the own data centre. Each VM is still pinged ten times
a second by the fleet as a whole. A data centre with few VMs is not left out, as
these are too few to notice in time that one of them has died.
"""

__all__ = ('PeerSelector',)

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from zinniaturn.fleet.alive_vms import PeerVm
from zinniaturn.fleet.vms import VmTable

# The part of the rounds in which a VM of another data centre has its turn.
_FAR_SHARE = 0.1
# VMs of a data centre that has fewer rely on the others to be pinged in time.
_FEWEST_NEAR_VMS = 8
# Of so many VMs for each push, a few are probably of the own data centre.
_PUSH_SAMPLE_FACTOR = 3


@dataclass(slots=True)
class PeerSelector:
    """
    Pings go in rounds over the VMs that are alive.

    ``spares_far`` returns whether VMs of other data centres are sent fewer
    datagrams, and ``names`` are the rest of a round for which that was
    ``is_sparing``. Work: one step for each VM in each round of pings, and for
    each push the same, however many VMs there are.
    """

    vms: VmTable
    random_source: random.Random
    spares_far: Callable[[], bool] = bool
    names: list[str] = field(default_factory=list)
    is_sparing: bool = False

    def next_target(self) -> PeerVm | None:
        """Return the next VM that is still alive, ``None`` without any."""
        if self.is_sparing != self.spares_far():
            self.is_sparing = not self.is_sparing
            self.names.clear()
        if not self.names:
            self.names = self._round()
        while self.names:
            peer = self.vms.vms.get(self.names.pop())
            if peer is not None and peer.is_alive:
                return peer
        return None

    def sample_for_push(self, count: int) -> list[PeerVm]:
        """
        Return up to ``count`` random VMs to push news to.

        Where others are spared, one of them is of another data centre.
        """
        alive = self.vms.alive
        if not self.spares_far():
            return alive.sample(self.random_source, count)
        own = self.vms.own.data_center
        sampled = alive.sample(self.random_source, count * _PUSH_SAMPLE_FACTOR)
        near = [peer for peer in sampled if peer.record.data_center == own]
        far = [peer for peer in sampled if peer.record.data_center != own]
        near = near[: count - 1]
        return near + far[: count - len(near)]

    def _round(self) -> list[str]:
        """Return the names of one round in random order."""
        peers = self.vms.alive_vms()
        if self.is_sparing:
            peers = self._without_most_far(peers) or peers
        names = [peer.name for peer in peers]
        self.random_source.shuffle(names)
        return names

    def _without_most_far(self, peers: list[PeerVm]) -> list[PeerVm]:
        """Return the VMs of the own data centre and a part of the others."""
        own = self.vms.own.data_center
        counts = Counter(peer.record.data_center for peer in peers)
        return [
            peer
            for peer in peers
            if peer.record.data_center == own
            or counts[peer.record.data_center] < _FEWEST_NEAR_VMS
            or self.random_source.random() < _FAR_SHARE
        ]
