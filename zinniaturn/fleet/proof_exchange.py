"""
Passing on of the proof that the tables in force are the store's newest.

Each datagram says how old its sender's proof is. Only an acknowledgement
counts, as of the time at which its ping was sent, so that no delay makes a
proof younger. A VM that hears of a younger proof pings its holder at once. So a
proof reaches all VMs within the time of some exchanges, as pushes pass it on,
and a VM that the store rejects gets it too.

Work: a ping more for each push that brings news, at most twenty a second, in a
fleet of any size.
"""

__all__ = ('ProofExchange',)

from dataclasses import dataclass

from zinniaturn.fleet.alive_vms import PeerVm
from zinniaturn.fleet.datagrams import Datagram
from zinniaturn.fleet.failure_detection import FailureDetector
from zinniaturn.fleet.gossip_sender import GossipSender
from zinniaturn.fleet.tables_proof import TablesProof

# A proof that is younger by this much is asked for, and pushed on.
_NEWS_SECONDS = 0.3
_SHORTEST_INTERVAL_SECONDS = 0.05
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class ProofExchange:
    """Learns from datagrams how old the tables in force are at most."""

    proof: TablesProof
    detector: FailureDetector
    sender: GossipSender
    asked_at: float = float('-inf')

    def receive(
        self, datagram: Datagram, peer: PeerVm | None, pinged_at: float | None
    ) -> bool:
        """
        Learn from a datagram; return whether to pass a proof on.

        ``pinged_at`` is when this VM sent the ping that it acknowledges.
        """
        row = datagram.proof
        if peer is not None:
            peer.knows_tenants = row is not None
        if row is None or row.age_ms is None:
            return False
        age = row.age_ms / _MS_PER_SECOND
        if pinged_at is not None:
            gained = self.proof.prove(row.revision, pinged_at - age)
            return gained > _NEWS_SECONDS
        now = self.proof.clock.monotonic()
        if self.proof.gain(row.revision, now - age) > _NEWS_SECONDS:
            self._ask(peer, now)
        return False

    def _ask(self, peer: PeerVm | None, now: float) -> None:
        """Ping the holder of a younger proof, unless one was just asked."""
        is_too_soon = now - self.asked_at < _SHORTEST_INTERVAL_SECONDS
        if peer is not None and not is_too_soon:
            self.asked_at = now
            self.sender.send_round(self.detector.ping(peer, now))
