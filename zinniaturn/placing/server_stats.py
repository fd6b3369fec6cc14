"""
What a VM remembers of a backend server between requests.

Fresh reports tell the load; memory tells what reports don't: that requests
fail there, that they take longer than the report lets expect, or that
probes go unanswered. All of it fades, so that a server gets another try.
"""

__all__ = ('ServerStats',)

from collections import deque
from dataclasses import dataclass, field

from zinniaturn.choosing.reports import LoadReport

_SLOWNESS_WEIGHT = 0.4
_FADE_SECONDS = 4.0
_MOST_SLOWNESS = 12.0
_LEAST_SLOWNESS = 0.7
_FAILURE_WEIGHT = 0.3
_FAILURES_OUT = 2
_FIRST_OUT_SECONDS = 1.0
_LONGEST_OUT_SECONDS = 8.0
_RECENT = 8


@dataclass(slots=True)
class ServerStats:
    """
    One server as this VM has come to know it; times are in seconds.

    ``slowness`` is how much longer answers took than their reports let
    expect, ``failures`` counts those in a row, ``failure_share`` is smoothed.
    """

    in_flight: int = 0
    slowness: float = 1.0
    updated_at: float = 0
    failure_share: float = 0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    unanswered: int = 0
    is_replaced: bool = False
    report: LoadReport | None = None
    reported_at: float = float('-inf')
    sent_at: deque[float] = field(default_factory=lambda: deque(maxlen=_RECENT))

    def begin(self, now: float) -> None:
        """Count a request that is sent."""
        self.in_flight += 1
        self.sent_at.append(now)

    def end(self) -> None:
        """Count a request that has ended."""
        self.in_flight -= 1

    def sent_since(self, moment: float) -> int:
        """Return how many requests were sent after a moment."""
        return sum(sent > moment for sent in self.sent_at)

    def note_report(self, report: LoadReport, now: float) -> None:
        """Take over what the server says of its load."""
        self.report = report
        self.reported_at = now
        self.unanswered = 0

    def note_unanswered(self) -> None:
        """Count a probe that brought no answer in time."""
        self.unanswered += 1

    def note_success(self, seconds: float, expected: float, now: float) -> None:
        """Learn from how long an answer took."""
        ratio = min(_MOST_SLOWNESS, seconds / max(expected, 0.001))
        ratio = max(_LEAST_SLOWNESS, ratio)
        current = self.slowness_at(now)
        self.slowness = current + (ratio - current) * _SLOWNESS_WEIGHT
        self.updated_at = now
        self.consecutive_failures = 0
        self.ejections = 0
        self.failure_share -= self.failure_share * _FAILURE_WEIGHT

    def note_unfinished(
        self,
        seconds: float,
        expected: float,
        now: float,
    ) -> None:
        """Learn from a request that was ended here before its answer."""
        if seconds <= expected:
            return
        ratio = min(_MOST_SLOWNESS, seconds / max(expected, 0.001))
        current = self.slowness_at(now)
        if ratio > current:
            self.slowness = current + (ratio - current) * _SLOWNESS_WEIGHT
            self.updated_at = now

    def note_failure(self, now: float) -> bool:
        """Count a failure; return whether the server is left out for it."""
        self.consecutive_failures += 1
        self.failure_share += (1 - self.failure_share) * _FAILURE_WEIGHT
        self.updated_at = now
        if (
            self.consecutive_failures < _FAILURES_OUT
            or self.ejected_until > now
        ):
            return False
        seconds = _FIRST_OUT_SECONDS * 2**self.ejections
        self.ejected_until = now + min(_LONGEST_OUT_SECONDS, seconds)
        self.ejections += 1
        return True

    def slowness_at(self, now: float) -> float:
        """Return the learned slowness, faded towards the usual."""
        return 1 + (self.slowness - 1) * self._trust(now)

    def failure_share_at(self, now: float) -> float:
        """Return the learned share of failures, faded."""
        return self.failure_share * self._trust(now)

    def _trust(self, now: float) -> float:
        return max(0, 1 - (now - self.updated_at) / _FADE_SECONDS / 2)
