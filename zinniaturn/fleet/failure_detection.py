"""
Detection of VMs that no longer respond, in the manner of SWIM.

Each VM pings another one ten times a second, as `PeerSelector` chooses, so each
VM is pinged ten times a second by the fleet as a whole, however large it is. A
VM that doesn't acknowledge is pinged again, and three others are asked to ping
it too, since the loss may be on the path between the two. After two such rounds
without an acknowledgement it is declared dead. Whoever has heard from no VM at
all in the meantime declares nothing: its own connection is the likely cause.

The load that this answers: many VMs that die at once, while a few per cent of
datagrams get lost and processes pause for a tenth of a second.
"""

__all__ = ('FailureDetector', 'PingRound')

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from zinniaturn.fleet.alive_vms import PeerVm
from zinniaturn.fleet.peer_selector import PeerSelector
from zinniaturn.fleet.vms import VmTable

PING_INTERVAL_SECONDS = 0.1
_FIRST_TIMEOUT_SECONDS = 0.15
_RETRY_TIMEOUT_SECONDS = 0.2
_RETRY_ROUNDS = 2
_HELPERS = 3
# Share of the intervals in which a silent VM is pinged, too.
_SILENT_PING_SHARE = 0.2
_SEQUENCE_BITS = 31

NoteRoundTrip = Callable[[str, float], None]


@dataclass(frozen=True, slots=True)
class PingRound:
    """A ping to send to ``target``, also by way of the ``helpers``."""

    sequence: int
    target: PeerVm
    helpers: tuple[PeerVm, ...] = ()


@dataclass(slots=True)
class _PendingPing:
    target: PeerVm
    started_at: float
    deadline: float
    rounds: int = 0


@dataclass(slots=True)
class FailureDetector:
    """
    Decides whom to ping and which VMs are dead.

    Each interval starts one ping, one more for each ping that was not
    acknowledged in time, and in a fifth of the intervals one to a VM that is
    not known to be alive. The cost in messages doesn't depend on the number of
    VMs; while many VMs die at once it grows up to twofold.

    ``on_round_trip`` is called with a VM's data centre and the seconds that a
    ping to it and its acknowledgement took.
    """

    vms: VmTable
    random_source: random.Random
    pending: dict[int, _PendingPing] = field(default_factory=dict)
    extra_pings: int = 0
    on_round_trip: NoteRoundTrip | None = None
    peers: PeerSelector = field(init=False)

    def __post_init__(self) -> None:
        """Begin with a new round."""
        self.peers = PeerSelector(self.vms, self.random_source)

    def tick(self, now: float) -> tuple[list[PingRound], list[str]]:
        """Return the pings to send and the VMs that were found dead."""
        rounds: list[PingRound] = []
        dead: list[str] = []
        for sequence, ping in list(self.pending.items()):
            if ping.target.heard_at > ping.started_at:
                self.pending.pop(sequence)
            elif now >= ping.deadline:
                self._escalate(sequence, ping, now, rounds, dead)
        for _ in range(1 + self.extra_pings):
            target = self.peers.next_target()
            if target is not None:
                rounds.append(self._start(target, now))
        self.extra_pings = 0
        silent = self._silent_target()
        if silent is not None:
            rounds.append(self._start(silent, now))
        return rounds, dead

    def acknowledge(self, sequence: int) -> float | None:
        """
        Record the acknowledgement of a ping, whichever way it came.

        Returns when the ping was first sent, ``None`` if none is pending.
        """
        ping = self.pending.pop(sequence, None)
        if ping is None:
            return None
        # After a repetition it is not known which ping is acknowledged.
        if self.on_round_trip is not None and not ping.rounds:
            seconds = self.vms.clock.monotonic() - ping.started_at
            self.on_round_trip(ping.target.record.data_center, seconds)
        return ping.started_at

    def ping(self, target: PeerVm, now: float) -> PingRound:
        """Start a ping between those of the intervals."""
        return self._start(target, now)

    def _start(self, target: PeerVm, now: float) -> PingRound:
        sequence = self.random_source.getrandbits(_SEQUENCE_BITS)
        self.pending[sequence] = _PendingPing(
            target, now, now + _FIRST_TIMEOUT_SECONDS
        )
        return PingRound(sequence, target)

    def _escalate(
        self,
        sequence: int,
        ping: _PendingPing,
        now: float,
        rounds: list[PingRound],
        dead: list[str],
    ) -> None:
        """Ask others to ping a VM, or find it dead after enough rounds."""
        name = ping.target.record.name
        current = self.vms.vms.get(name)
        if current is not ping.target or not current.is_alive:
            self.pending.pop(sequence)
        elif ping.rounds < _RETRY_ROUNDS:
            self.extra_pings += not ping.rounds
            ping.rounds += 1
            ping.deadline = now + _RETRY_TIMEOUT_SECONDS
            rounds.append(PingRound(sequence, ping.target, self._helpers(name)))
        else:
            self.pending.pop(sequence)
            if self.vms.last_heard_at > ping.started_at:
                dead.append(name)

    def _helpers(self, excluded: str) -> tuple[PeerVm, ...]:
        others = [
            peer
            for peer in self.sample_alive(_HELPERS + 1)
            if peer.record.name != excluded
        ]
        return tuple(others[:_HELPERS])

    def sample_alive(self, count: int) -> list[PeerVm]:
        """Return up to ``count`` random VMs that are alive."""
        return self.vms.alive.sample(self.random_source, count)

    def _silent_target(self) -> PeerVm | None:
        """Return a VM that may have come back, in some of the intervals."""
        if self.random_source.random() > _SILENT_PING_SHARE:
            return None
        silent = self.vms.silent_vms()
        return self.random_source.choice(silent) if silent else None
