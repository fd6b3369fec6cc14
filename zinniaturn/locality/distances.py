"""The distances between a VM's data centre and the others, by its pings."""

__all__ = ('Distances',)

from dataclasses import dataclass, field
from math import inf

# The shortest round trip of the last one to two of these periods counts, so
# that a slow ping changes nothing and a path that became longer is noticed.
_PERIOD_SECONDS = 20.0
# Processes that have just started acknowledge late.
_FEWEST_PINGS = 8
_SHORTEST_SPAN_SECONDS = 3.0
# A round trip inside a data centre, where no other VM is in it.
_INSIDE_SECONDS = 0.0002
_MOST_DATA_CENTERS = 256


@dataclass(slots=True)
class _RoundTrips:
    """The shortest round trips of this period and of the one before."""

    began_at: float
    first_at: float
    shortest: float = inf
    count: int = 0
    earlier_shortest: float = inf
    earlier_count: int = 0

    def turn(self, now: float) -> None:
        """Begin a period anew if the last one is over."""
        age = now - self.began_at
        if age < _PERIOD_SECONDS:
            return
        is_next = age < 2 * _PERIOD_SECONDS
        self.earlier_shortest = self.shortest if is_next else inf
        self.earlier_count = self.count if is_next else 0
        self.began_at = now
        self.shortest = inf
        self.count = 0

    def note(self, seconds: float) -> None:
        """Record a round trip."""
        self.shortest = min(self.shortest, seconds)
        self.count += 1

    def seconds(self, now: float) -> float | None:
        """Return the shortest round trip, ``None`` after too few."""
        self.turn(now)
        is_early = now - self.first_at < _SHORTEST_SPAN_SECONDS
        if is_early or self.count + self.earlier_count < _FEWEST_PINGS:
            return None
        return min(self.shortest, self.earlier_shortest)


@dataclass(slots=True)
class Distances:
    """
    Round trips to other VMs by their data centre, in seconds.

    VMs ping each other all the time, so the distances are known some seconds
    after a start, without any request. The shortest round trip of many counts:
    processes and networks make round trips longer and never shorter. Recording
    one costs the same in a fleet of any size; `beyond_own` costs a step for
    each data centre.

    >>> distances = Distances('dc-a')
    >>> for number in range(40):
    ...     distances.note('dc-a', 0.0005, number / 10)
    ...     distances.note('dc-b', 0.0033, number / 10)
    >>> {
    ...     name: round(extra, 4)
    ...     for name, extra in distances.beyond_own(4).items()
    ... }
    {'dc-b': 0.0028}
    >>> distances.note('dc-b', 0.2, 4)
    >>> round(distances.beyond_own(4)['dc-b'], 4)
    0.0028
    """

    data_center: str
    round_trips: dict[str, _RoundTrips] = field(default_factory=dict)

    def note(self, data_center: str, seconds: float, now: float) -> None:
        """Record the round trip to a VM of a data centre."""
        known = self.round_trips.get(data_center)
        if known is None:
            if len(self.round_trips) >= _MOST_DATA_CENTERS:
                return
            known = _RoundTrips(now, now)
            self.round_trips[data_center] = known
        known.turn(now)
        known.note(seconds)

    def inside_seconds(self, now: float) -> float | None:
        """Return the round trip in the own data centre, if it is known."""
        known = self.round_trips.get(self.data_center)
        return _INSIDE_SECONDS if known is None else known.seconds(now)

    def beyond_own(self, now: float) -> dict[str, float]:
        """
        Return how much longer the round trip to each other data centre is.

        Those that are not known are left out.
        """
        inside = self.inside_seconds(now)
        if inside is None:
            return {}
        beyond = {}
        for name, known in self.round_trips.items():
            seconds = known.seconds(now)
            if name != self.data_center and seconds is not None:
                beyond[name] = seconds - inside
        return beyond
