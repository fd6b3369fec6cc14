"""What a VM has seen lately of a pool's servers in one data centre."""

__all__ = ('PlaceNews',)

import math
from dataclasses import dataclass

# Time in which the share of servers with room follows a change. It is shorter
# than a request runs at a server, so that a full data centre is left and an
# empty one used within a few requests.
_ROOM_SECONDS = 0.05
_LEAST_ROOM_WEIGHT = 0.08
_MOST_ROOM_WEIGHT = 0.3
# Without probes, the share returns to the usual one in this time.
_ROOM_MEMORY_SECONDS = 1.0
_USUAL_ROOM = 0.7
# Responses move the latency ratio slowly, as those of noisy servers scatter.
_RATIO_WEIGHT = 0.05
_RATIO_MEMORY_SECONDS = 3.0
# Requests that fail in a row show within a few of them.
_FAILURE_WEIGHT = 0.15
_LEAST_RATIO = 0.5
_MOST_RATIO = 6.0
# The shortest round trip that was seen grows by this share a second, so that a
# path that has become longer is noticed.
_ROUND_TRIP_GROWTH = 0.05


@dataclass(slots=True)
class PlaceNews:
    """
    What probes and responses said of a data centre's servers, smoothed.

    ``room`` is the share of probed servers that answered in time, had room and
    were not slow, as of ``room_at``. ``latency_ratio`` is the ratio of actual
    to expected latency as of ``ratio_at``; it shows slowness that load reports
    do not. ``failure_share`` is that of failed attempts as of ``failed_at``,
    and ``round_trip`` the shortest time of a probe as of ``round_trip_at``.
    Times are in seconds. Each update and each figure costs the same, however
    many servers there are.

    >>> news = PlaceNews()
    >>> for number in range(30):
    ...     news.note_probe(False, 1 + number / 100)
    >>> round(news.room_at(1.3), 2)
    0.04
    >>> round(news.room_at(9), 2)
    0.7
    """

    room: float = _USUAL_ROOM
    updated_at: float = float('-inf')
    latency_ratio: float = 1.0
    ratio_at: float = float('-inf')
    failure_share: float = 0
    failed_at: float = float('-inf')
    round_trip: float | None = None
    round_trip_at: float = 0

    def note_probe(self, had_room: bool, now: float) -> None:
        """Record whether a probed server can serve a request soon."""
        room = self.room_at(now)
        passed = 1 - math.exp((self.updated_at - now) / _ROOM_SECONDS)
        weight = min(_MOST_ROOM_WEIGHT, max(_LEAST_ROOM_WEIGHT, passed))
        self.room = room + (had_room - room) * weight
        self.updated_at = now

    def note_round_trip(self, seconds: float, now: float) -> None:
        """Record the time that a probe took."""
        known = self.round_trip_seconds(now)
        self.round_trip = seconds if known is None else min(known, seconds)
        self.round_trip_at = now

    def note_latency(self, ratio: float, now: float) -> None:
        """Record the ratio of a response's actual to its expected latency."""
        current = self.latency_ratio_at(now)
        ratio = min(_MOST_RATIO, max(_LEAST_RATIO, ratio))
        self.latency_ratio = current + (ratio - current) * _RATIO_WEIGHT
        self.ratio_at = now

    def note_end(self, has_failed: bool, now: float) -> None:
        """Record whether an attempt has failed."""
        current = self.failure_share_at(now)
        self.failure_share = current + (has_failed - current) * _FAILURE_WEIGHT
        self.failed_at = now

    def failure_share_at(self, now: float) -> float:
        """Return the share of failures, decayed towards 0."""
        if not self.failure_share:
            return 0
        weight = math.exp((self.failed_at - now) / _RATIO_MEMORY_SECONDS)
        return self.failure_share * weight

    def room_at(self, now: float) -> float:
        """Return the share of servers with room."""
        weight = math.exp((self.updated_at - now) / _ROOM_MEMORY_SECONDS)
        return _USUAL_ROOM + (self.room - _USUAL_ROOM) * weight

    def latency_ratio_at(self, now: float) -> float:
        """Return the latency ratio, decayed towards 1."""
        weight = math.exp((self.ratio_at - now) / _RATIO_MEMORY_SECONDS)
        return 1 + (self.latency_ratio - 1) * weight

    def round_trip_seconds(self, now: float) -> float | None:
        """Return the round trip of a probe, ``None`` before the first."""
        if self.round_trip is None:
            return None
        age = now - self.round_trip_at
        return self.round_trip * (1 + _ROUND_TRIP_GROWTH * age)
