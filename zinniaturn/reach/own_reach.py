"""What this VM has seen of all pools."""

__all__ = ('OwnReach',)

from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.reach.observation import PoolObservation

# Connections and probes are given up after 0.3 s.
_LONGEST_ATTEMPT_SECONDS = 0.45


@dataclass(slots=True)
class OwnReach:
    """
    The observations of the pools that this VM has used.

    ``sizes`` are the numbers of servers of all pools. ``unanswered`` holds the
    pools with a server that was tried since the last response, and
    ``unconnected`` those with one that took no connection, so that looking for
    silent pools costs nothing while all respond.
    """

    clock: Clock
    sizes: dict[str, int] = field(default_factory=dict)
    pools: dict[str, PoolObservation] = field(default_factory=dict)
    unanswered: dict[str, PoolObservation] = field(default_factory=dict)
    unconnected: dict[str, PoolObservation] = field(default_factory=dict)

    def of(self, pool: str) -> PoolObservation:
        """Return the observation of a pool, which is created on first use."""
        return self.pools.setdefault(pool, PoolObservation())

    def retain(self, sizes: dict[str, int]) -> None:
        """Forget the pools that are gone; apply the sizes of the others."""
        self.sizes = sizes
        for pool in self.pools.keys() - sizes.keys():
            self.pools.pop(pool)
            self.unanswered.pop(pool, None)
            self.unconnected.pop(pool, None)

    def note_tried(self, pool: str, server: str) -> float:
        """Record that a probe or a connection was begun; return the time."""
        now = self.clock.monotonic()
        observation = self.of(pool)
        observation.note_tried(server, now)
        self.unanswered[pool] = observation
        return now

    def note_probe_begun(self, pool: str) -> None:
        """Count a probe that was sent on an established connection."""
        self.of(pool).open_probes += 1

    def note_probe_ended(self, pool: str) -> None:
        """Count the end of a probe, whatever came of it."""
        self.of(pool).open_probes -= 1

    def note_failed(self, pool: str, server: str, tried_at: float) -> None:
        """Record that a connection that was used from ``tried_at`` broke."""
        if self._has_stalled_since(tried_at):
            return
        observation = self.of(pool)
        observation.note_failed(server, tried_at)
        if observation.tried:
            self.unanswered[pool] = observation

    def note_unconnected(self, pool: str, server: str, tried_at: float) -> None:
        """Record that a connection could not be established."""
        if self._has_stalled_since(tried_at):
            return
        observation = self.of(pool)
        observation.note_unconnected(server, tried_at)
        self.unconnected[pool] = observation
        if observation.tried:
            self.unanswered[pool] = observation

    def note_connected(self, pool: str) -> None:
        """Record that a connection to a server was established."""
        self.of(pool).note_connected()
        self.unconnected.pop(pool, None)

    def note_response(self, pool: str) -> None:
        """Record a response of a server, whatever it says."""
        self.of(pool).note_response(self.clock.monotonic())
        self.unanswered.pop(pool, None)

    def is_silent(self, pool: str) -> bool:
        """Return whether no server of a pool responds to this VM."""
        observation = self.unanswered.get(pool)
        if observation is None:
            return False
        return observation.is_silent(
            self.clock.monotonic(), self.sizes.get(pool, 0)
        )

    def responded_at(self, pool: str) -> float:
        """Return when a server of a pool last responded to this VM."""
        observation = self.pools.get(pool)
        return (
            float('-inf') if observation is None else observation.responded_at
        )

    def is_trusted(self, pool: str) -> bool:
        """Return whether nothing speaks against the path to a pool."""
        return pool not in self.unanswered and pool not in self.unconnected

    def refuses_connections(self, pool: str) -> bool:
        """Return whether no server of a pool takes a new connection."""
        observation = self.unconnected.get(pool)
        return observation is not None and observation.refuses_connections(
            self.sizes.get(pool, 0)
        )

    def doubtful_pools(self) -> list[str]:
        """Return the pools that don't respond or take no new connection."""
        now = self.clock.monotonic()
        doubtful = [
            pool
            for pool, observation in self.unanswered.items()
            if observation.is_doubtful(now, self.sizes.get(pool, 0))
        ]
        doubtful.extend(
            pool
            for pool in self.unconnected
            if pool not in doubtful and self.refuses_connections(pool)
        )
        return doubtful

    def _has_stalled_since(self, tried_at: float) -> bool:
        """
        Return whether an attempt took longer than its time limit allows.

        Then this process has stood still, and the server may have responded.
        """
        return self.clock.monotonic() - tried_at > _LONGEST_ATTEMPT_SECONDS

    def silent_pools(self) -> list[str]:
        """Return the pools of which no server responds to this VM."""
        return [pool for pool in self.unanswered if self.is_silent(pool)]
