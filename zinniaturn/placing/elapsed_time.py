"""
Estimates how long a caller has already been trying a request.

A caller that retries sends its remaining timeout, which is shorter than the
timeout that the route's callers send with a first attempt. The difference has
already passed, so the request's objective is that much closer. Callers use
somewhat different timeouts, so a slightly shorter one is not taken as a sign
of a retry.
"""

__all__ = ('ElapsedTimeEstimator',)

from dataclasses import dataclass, field

# Smoothing weight with which the longest timeout falls to shorter ones.
_DECAY_WEIGHT = 0.02
# Timeouts shorter by up to this share still count as first attempts.
_FIRST_ATTEMPT_SPREAD = 0.25


@dataclass(slots=True)
class ElapsedTimeEstimator:
    """
    The longest timeout that each route's callers send, in seconds.

    >>> times = ElapsedTimeEstimator()
    >>> times.estimate('r', 2.0), times.estimate('r', 1.8)
    (0, 0)
    >>> round(times.estimate('r', 1.0), 1)
    0.5
    """

    longest_timeouts: dict[str, float] = field(default_factory=dict)

    def estimate(self, route: str, seconds: float) -> float:
        """
        Return the seconds that have passed at least before this attempt.

        ``seconds`` is the timeout that the caller sent with it.
        """
        longest = self.longest_timeouts.get(route, seconds)
        if seconds >= longest:
            self.longest_timeouts[route] = seconds
            return 0
        shortest = longest * (1 - _FIRST_ATTEMPT_SPREAD)
        if seconds >= shortest:
            return 0
        self.longest_timeouts[route] = (
            longest - (shortest - seconds) * _DECAY_WEIGHT
        )
        return shortest - seconds
