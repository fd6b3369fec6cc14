"""
When the callers return that were rejected because all servers have limits.

A pool whose servers all name limits takes a known number of requests a second.
Callers that were told to come back at the same time would meet the same limits
again, so each is given the next free place in the time that the pool needs for
those before it. More urgent routes have their places first.
"""

__all__ = ('ReturnSchedule',)

from dataclasses import dataclass, field

_LONGEST_SECONDS = 2.0


@dataclass(slots=True)
class ReturnSchedule:
    """
    The last place given to callers of each priority, as a time.

    Callers are told ``longest_seconds`` at most.

    >>> schedule = ReturnSchedule()
    >>> schedule.seconds(2, priority=1, now=10)
    0.5
    >>> schedule.seconds(2, priority=1, now=10)
    1.0
    >>> schedule.seconds(2, priority=0, now=10)
    0.5
    """

    last_at: dict[int, float] = field(default_factory=dict)
    longest_seconds: float = _LONGEST_SECONDS

    def seconds(self, per_second: float, priority: int, now: float) -> float:
        """
        Return the seconds until the next place.

        ``per_second`` is the rate at which places become free, and a lower
        ``priority`` is more urgent.
        """
        earlier = (
            last
            for urgency, last in self.last_at.items()
            if urgency <= priority
        )
        begin = max(now, *earlier, now)
        latest = now + self.longest_seconds
        place = latest
        if per_second > 0:
            place = min(latest, begin + 1 / per_second)
        self.last_at[priority] = place
        return place - now
