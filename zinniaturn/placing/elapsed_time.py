"""
How long a caller has been trying already.

A caller that comes again says how long it will still wait, which is less than
what the route's callers say at first. What is missing has passed, so that its
objective is that much nearer. Callers differ in their patience, so that a
little less says nothing.
"""

__all__ = ('ElapsedTimeEstimator',)

from dataclasses import dataclass, field

_FORGET_WEIGHT = 0.02
_SPREAD_SHARE = 0.25


@dataclass(slots=True)
class ElapsedTimeEstimator:
    """
    The longest first wait of each route's callers.

    >>> times = ElapsedTimeEstimator()
    >>> times.estimate('r', 2.0), times.estimate('r', 1.8)
    (0, 0)
    >>> round(times.estimate('r', 1.0), 1)
    0.5
    """

    longest: dict[str, float] = field(default_factory=dict)

    def estimate(self, route: str, seconds: float) -> float:
        """Return the seconds that surely passed before this attempt."""
        longest = self.longest.get(route, seconds)
        if seconds >= longest:
            self.longest[route] = seconds
            return 0
        shortest = longest * (1 - _SPREAD_SHARE)
        if seconds >= shortest:
            return 0
        self.longest[route] = longest - (shortest - seconds) * _FORGET_WEIGHT
        return shortest - seconds
