"""The rate of an event over a sliding window."""

__all__ = ('RecentRate', 'discard_until')

from collections import deque
from dataclasses import dataclass, field

_WINDOW_SECONDS = 2.0


@dataclass(slots=True)
class RecentRate:
    """
    The mean rate of an event over the last two seconds.

    >>> rate = RecentRate()
    >>> for moment in (1.0, 2.0, 3.0, 3.5):
    ...     rate.note(moment)
    >>> rate.per_second(3.5)
    1.5
    """

    times: deque[float] = field(default_factory=deque)

    def note(self, now: float) -> None:
        """Count an event."""
        self.times.append(now)
        discard_until(self.times, now - _WINDOW_SECONDS)

    def forget_latest(self) -> None:
        """Take back the latest event, if any is left."""
        if self.times:
            self.times.pop()

    def per_second(self, now: float) -> float:
        """Return the mean events per second."""
        discard_until(self.times, now - _WINDOW_SECONDS)
        return len(self.times) / _WINDOW_SECONDS


def discard_until(times: deque[float], end: float) -> None:
    """Remove the times up to and including ``end``; times are sorted."""
    while times and times[0] <= end:
        times.popleft()
