"""The VMs that are alive, with sums that are kept up to date on each change."""

__all__ = ('AliveVms', 'PeerVm', 'rank_key')

import random
import zlib
from dataclasses import dataclass, field

from zinniaturn.fleet.domain import VmRecord, VmStage, VmStatus
from zinniaturn.fleet.owner_ring import OwnerRing

_ALIVE_STAGES = frozenset((VmStage.STARTING, VmStage.READY, VmStage.STOPPING))


@dataclass(slots=True)
class PeerVm:
    """
    Another VM of the fleet.

    Its ``version`` is 0 while nothing but its record is known. ``heard_at`` is
    the time of the last message from the VM itself, which said that it was at
    ``own_version``, and ``changed_at`` is the time of the last change of its
    status; both times are minus infinity before the first. ``follows_eras``
    is set once a message of its process shows that it knows the store's eras,
    and ``follows_evacuations`` while its messages tell evacuations.
    ``knows_tenants`` is set if its last one shows that it asks for tenants'
    keys.
    """

    record: VmRecord
    version: int = 0
    stage: VmStage = VmStage.STARTING
    load: int = 0
    cut_off: int = 0
    is_outdated: bool = False
    heard_at: float = float('-inf')
    own_version: int = 0
    changed_at: float = float('-inf')
    follows_eras: bool = False
    follows_evacuations: bool = False
    knows_tenants: bool = False

    @property
    def name(self) -> str:
        """Return the VM's name."""
        return self.record.name

    @property
    def is_alive(self) -> bool:
        """Return whether the VM is known to be alive."""
        return self.version > 0 and self.stage in _ALIVE_STAGES

    @property
    def is_unaware(self) -> bool:
        """Return whether the VM may not know its own newest status."""
        is_behind = self.own_version < self.version
        return self.version > 0 and (is_behind or self.stage is VmStage.DEAD)

    def status(self) -> VmStatus:
        """Return the VM's status without its record."""
        return VmStatus(
            self.name,
            self.version,
            self.stage,
            self.load,
            cut_off=self.cut_off,
            is_outdated=self.is_outdated,
        )


@dataclass(slots=True)
class AliveVms:
    """
    The alive VMs in no particular order, without the VM called ``own_name``.

    ``load`` is the sum of their loads, ``checksum`` doesn't depend on their
    order, and ``rank`` is the number of those that come before the own VM.
    ``ready`` also holds the own VM while it is ready. Each change takes the
    same time, however many VMs there are, but for the insertion into a sorted
    list of eight points a VM.
    """

    own_name: str
    load: int = 0
    rank: int = 0
    checksum: int = 0
    peers: list[PeerVm] = field(default_factory=list)
    positions: dict[str, int] = field(default_factory=dict)
    ready: OwnerRing = field(default_factory=OwnerRing)

    def add(self, peer: PeerVm) -> None:
        """Add a VM that is alive; nothing happens with any other."""
        if not peer.is_alive or peer.name in self.positions:
            return
        self.positions[peer.name] = len(self.peers)
        self.peers.append(peer)
        self._count(peer, 1)
        if peer.stage is VmStage.READY:
            self.ready.add(peer.name)

    def discard(self, peer: PeerVm) -> None:
        """Remove a VM before its status changes, if it is in the set."""
        position = self.positions.pop(peer.name, None)
        if position is None:
            return
        last = self.peers.pop()
        if last.name != peer.name:
            self.peers[position] = last
            self.positions[last.name] = position
        self._count(peer, -1)
        if peer.stage is VmStage.READY:
            self.ready.discard(peer.name)

    def sample(self, random_source: random.Random, count: int) -> list[PeerVm]:
        """Return up to ``count`` different VMs at random."""
        return random_source.sample(self.peers, min(count, len(self.peers)))

    def _count(self, peer: PeerVm, sign: int) -> None:
        self.load += sign * peer.load
        self.checksum ^= zlib.crc32(peer.name.encode())
        is_ahead = rank_key(peer.name) < rank_key(self.own_name)
        if is_ahead and peer.stage is not VmStage.STOPPING:
            self.rank += sign


def rank_key(name: str) -> tuple[int, str]:
    """Return the sort key of a VM's rank, the same on all VMs."""
    return zlib.crc32(name.encode()), name
