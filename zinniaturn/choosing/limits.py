"""
Adaptive limits on one entry's requests in flight at one server.

References
----------
.. [1] D.-M. Chiu and R. Jain, "Analysis of the increase and decrease
   algorithms for congestion avoidance in computer networks", Computer
   Networks and ISDN Systems, 1989.

"""

__all__ = ('ConcurrencyLimit',)

from dataclasses import dataclass

# Requests by which the limit grows per report, divided by the slots.
_INCREASE_REQUESTS = 0.5
_DECREASE_FACTOR = 0.8
_TIMEOUT_DECREASE_FACTOR = 0.5
_MIN_REQUESTS = 1.0
_MAX_REQUESTS_PER_SLOT = 2.0
_SLOW_START_SECONDS = 4.0


@dataclass(slots=True)
class ConcurrencyLimit:
    """
    A concurrency limit with additive increase, multiplicative decrease [1]_.

    It is increased while the server has no queue and decreased while the queue
    is longer than the server's slots, so that the limits of entries that share
    a server converge. ``share`` is the limit as a share of the server's slots;
    it starts at all of them.

    >>> limit = ConcurrencyLimit()
    >>> limit.update(queued=8, slots=4)
    >>> round(limit.share, 2)
    0.8
    """

    share: float = 1

    def update(self, queued: int, slots: int) -> None:
        """Adjust the limit to the queue that the server reported."""
        if queued > slots:
            self.share = max(
                _MIN_REQUESTS / slots, self.share * _DECREASE_FACTOR
            )
        elif not queued:
            step = _INCREASE_REQUESTS / slots / slots
            self.share = min(_MAX_REQUESTS_PER_SLOT, self.share + step)

    def note_timeout(self, slots: int) -> None:
        """Decrease the limit after a request that passed its deadline."""
        self.share = max(
            _MIN_REQUESTS / slots, self.share * _TIMEOUT_DECREASE_FACTOR
        )

    def allowed(
        self,
        slots: int,
        slow_start_since: float | None,
        now: float,
    ) -> float:
        """
        Return the requests allowed in flight, at least one.

        In slow start, which began at ``slow_start_since``, the number grows
        linearly up to the limit.
        """
        allowed = max(_MIN_REQUESTS, self.share * slots)
        if slow_start_since is None:
            return allowed
        ramp = min(1, (now - slow_start_since) / _SLOW_START_SECONDS)
        return max(_MIN_REQUESTS, allowed * ramp)
