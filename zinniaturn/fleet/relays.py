"""Pings that a VM sends on behalf of others."""

__all__ = ('PingRelay', 'PingRelays')

from dataclasses import dataclass, field

from zinniaturn.http1.connections import Address

_LIFETIME_SECONDS = 1.0
_MOST_RELAYS = 256
_FIRST_SEQUENCE = 2**31


@dataclass(frozen=True, slots=True)
class PingRelay:
    """Who asked for a ping, under which sequence number, and when."""

    sequence: int
    requester: Address
    added_at: float


@dataclass(slots=True)
class PingRelays:
    """
    The pings sent for others that are not acknowledged yet.

    Their own sequence numbers begin above those of the failure detector.
    """

    pending: dict[int, PingRelay] = field(default_factory=dict)
    next_sequence: int = _FIRST_SEQUENCE

    def add(self, sequence: int, requester: Address, now: float) -> int:
        """Return the sequence number for a ping on behalf of another VM."""
        if len(self.pending) >= _MOST_RELAYS:
            self.pending.pop(next(iter(self.pending)))
        own_sequence = self.next_sequence
        self.next_sequence += 1
        self.pending[own_sequence] = PingRelay(sequence, requester, now)
        return own_sequence

    def take(self, own_sequence: int) -> PingRelay | None:
        """Remove and return the relay of an acknowledged ping, if any."""
        return self.pending.pop(own_sequence, None)

    def discard_old(self, now: float) -> None:
        """Remove the relays whose acknowledgement came too late."""
        oldest = now - _LIFETIME_SECONDS
        expired = [
            sequence
            for sequence, relay in self.pending.items()
            if relay.added_at < oldest
        ]
        for sequence in expired:
            self.pending.pop(sequence)
