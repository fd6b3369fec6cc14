"""Moments of the last seconds, and how often something happened in them."""

__all__ = ('RecentRate', 'discard_until')

from collections import deque
from dataclasses import dataclass, field

_WINDOW_SECONDS = 2.0


@dataclass(slots=True)
class RecentRate:
    """
    How often a second something happened in the last seconds.

    >>> rate = RecentRate()
    >>> for moment in (1.0, 2.0, 3.0, 3.5):
    ...     rate.note(moment)
    >>> rate.per_second(3.5)
    1.5
    """

    times: deque[float] = field(default_factory=deque)

    def note(self, now: float) -> None:
        """Count once more."""
        self.times.append(now)
        discard_until(self.times, now - _WINDOW_SECONDS)

    def per_second(self, now: float) -> float:
        """Return the mean rate."""
        discard_until(self.times, now - _WINDOW_SECONDS)
        return len(self.times) / _WINDOW_SECONDS


def discard_until(times: deque[float], moment: float) -> None:
    """Drop the times up to a moment; times are in order."""
    while times and times[0] <= moment:
        times.popleft()
