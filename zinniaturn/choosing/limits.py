"""
Limits on what one entry has in flight at one server.

References
----------
.. [1] D.-M. Chiu and R. Jain, "Analysis of the increase and decrease
   algorithms for congestion avoidance in computer networks", Computer
   Networks and ISDN Systems, 1989.

"""

__all__ = ('ConcurrencyLimit',)

from dataclasses import dataclass

_INCREASE = 0.5
_DECREASE = 0.8
_DECREASE_TIMED_OUT = 0.5
_LEAST = 1.0
_MOST_PER_SLOT = 2.0
_SLOW_START_SECONDS = 4.0


@dataclass(slots=True)
class ConcurrencyLimit:
    """
    A limit that grows while the server has no queue and shrinks with one.

    The increase is additive and the decrease multiplicative [1]_, so that
    entries that share a server come to equal limits. ``share`` is the limit
    as a share of the server's slots; it starts at all of them.

    >>> limit = ConcurrencyLimit()
    >>> limit.update(queued=8, slots=4)
    >>> round(limit.share, 2)
    0.8
    """

    share: float = 1

    def update(self, queued: int, slots: int) -> None:
        """Adjust to the queue that the server reported."""
        if queued > slots:
            self.share = max(_LEAST / slots, self.share * _DECREASE)
        elif not queued:
            step = _INCREASE / slots / slots
            self.share = min(_MOST_PER_SLOT, self.share + step)

    def note_timeout(self, slots: int) -> None:
        """Adjust to a request that got no answer by its deadline."""
        self.share = max(_LEAST / slots, self.share * _DECREASE_TIMED_OUT)

    def allowed(
        self,
        slots: int,
        warming_since: float | None,
        now: float,
    ) -> float:
        """
        Return the requests allowed in flight, at least one.

        A server that warms up since ``warming_since`` gets a share that grows
        to the whole limit.
        """
        allowed = max(_LEAST, self.share * slots)
        if warming_since is None:
            return allowed
        warmth = min(1, (now - warming_since) / _SLOW_START_SECONDS)
        return max(_LEAST, allowed * warmth)
