"""
What one VM has seen of a pool's backend servers since the last response.

Probes and connections are counted, since both are answered within a few
milliseconds whatever the servers' load. Requests are not: how long they take
depends on the work. Any response counts, also a rejection.
"""

__all__ = ('PoolObservation',)

from dataclasses import dataclass, field

_NEVER = float('-inf')
# A pool counts as silent once all but two of its servers have not responded, or
# as many of them.
_MOST_NEEDED_SERVERS = 6
_FEWEST_NEEDED_SERVERS = 3
_SPARED_SERVERS = 2
_SILENCE_SECONDS = 0.15
_DOUBT_SECONDS = 0.05


@dataclass(slots=True)
class PoolObservation:
    """
    The servers that were tried since the last response of any.

    Times are in seconds, by a clock that counts the time spent suspended.
    ``silent_since`` is when the first of them was tried, ``failed`` are those
    whose connection was refused, reset or not established in time, and
    ``unconnected`` those to which no connection was established since the last
    one that was. ``open_probes`` is the number of probes under way on
    established connections.

    >>> pool = PoolObservation()
    >>> for server in ('s-1', 's-2', 's-3', 's-4'):
    ...     pool.note_tried(server, 10.0)
    >>> pool.is_silent(10.1, size=6), pool.is_silent(10.2, size=6)
    (False, True)
    >>> pool.note_response(10.3)
    >>> pool.is_silent(10.4, size=6)
    False
    """

    responded_at: float = _NEVER
    silent_since: float = _NEVER
    tried: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    unconnected: set[str] = field(default_factory=set)
    open_probes: int = 0

    def note_tried(self, server: str, now: float) -> None:
        """Record that a probe or a connection to a server was begun."""
        if not self.tried:
            self.silent_since = now
        if len(self.tried) < _MOST_NEEDED_SERVERS:
            self.tried.add(server)

    def note_failed(self, server: str, tried_at: float) -> None:
        """
        Record that a server's connection failed.

        What was begun before the last response of the pool counts no more.
        """
        if tried_at <= self.responded_at:
            return
        self.note_tried(server, tried_at)
        if len(self.failed) < _MOST_NEEDED_SERVERS:
            self.failed.add(server)

    def note_unconnected(self, server: str, tried_at: float) -> None:
        """Record that a connection to a server could not be established."""
        self.note_failed(server, tried_at)
        if len(self.unconnected) < _MOST_NEEDED_SERVERS:
            self.unconnected.add(server)

    def note_connected(self) -> None:
        """Record that a connection to a server was established."""
        self.unconnected.clear()

    def note_response(self, now: float) -> None:
        """Record a response of a server, whatever it says."""
        self.responded_at = now
        self.silent_since = _NEVER
        self.tried.clear()
        self.failed.clear()

    def is_silent(self, now: float, size: int) -> bool:
        """
        Return whether no server of a pool of ``size`` servers responds.

        Where their connections fail and no probe is under way on another one
        this is known at once, otherwise after a multiple of the time in which
        servers respond to probes.
        """
        enough = _needed_servers(size)
        if not enough or len(self.tried) < enough:
            return False
        if len(self.failed) >= enough and not self.open_probes:
            return True
        return now - self.silent_since >= _SILENCE_SECONDS

    def is_doubtful(self, now: float, size: int) -> bool:
        """
        Return whether the pool may turn out to be silent.

        That is the time to ask other VMs about it.
        """
        if self.is_silent(now, size):
            return True
        enough = _needed_servers(size)
        if not enough or len(self.tried) < enough:
            return False
        return now - self.silent_since >= _DOUBT_SECONDS

    def refuses_connections(self, size: int) -> bool:
        """Return whether no server of the pool takes a new connection."""
        enough = _needed_servers(size)
        return enough > 0 and len(self.unconnected) >= enough

    def silent_seconds(self, now: float) -> float:
        """Return for how long no server has responded, 0 if one has."""
        return now - self.silent_since if self.tried else 0


def _needed_servers(size: int) -> int:
    """Return how many servers have to be silent, 0 for an empty pool."""
    most = min(_MOST_NEEDED_SERVERS, size - _SPARED_SERVERS)
    return min(size, max(_FEWEST_NEEDED_SERVERS, most))
