"""
What a VM has observed of a backend server over its requests and probes.

A load report shows the server's load but not that requests fail there, that
they take longer than the report suggests, or that probes get no answer. What
was observed of latencies and failures decays with time and ejections end, so
that the server is used again.
"""

__all__ = ('ServerStats',)

from dataclasses import dataclass

from zinniaturn.choosing.reports import LoadReport

_LATENCY_RATIO_SMOOTHING = 0.4
# Observations lose half of their weight in this time and all in twice of it.
_HALF_WEIGHT_SECONDS = 4.0
_MAX_LATENCY_RATIO = 12.0
_MIN_LATENCY_RATIO = 0.7
_FAILURE_SMOOTHING = 0.3
_FAILURES_TO_EJECT = 2
_FIRST_EJECTION_SECONDS = 1.0
_LONGEST_EJECTION_SECONDS = 8.0


@dataclass(slots=True)
class ServerStats:
    """
    What this VM has observed of one server; times are in seconds.

    ``latency_ratio`` is the smoothed ratio of actual to expected latency and
    ``failure_share`` the smoothed share of failures, both as of
    ``updated_at``. ``ejections`` counts those since the last success and
    ``unanswered`` the probes without an answer since the last report, as
    ``sent_since_report`` counts the requests sent since then.
    ``is_replaced`` is set once another server answers at the address.
    """

    in_flight: int = 0
    latency_ratio: float = 1.0
    updated_at: float = 0
    failure_share: float = 0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    unanswered: int = 0
    is_replaced: bool = False
    report: LoadReport | None = None
    reported_at: float = float('-inf')
    sent_since_report: int = 0

    def begin(self) -> None:
        """Count a request that is sent."""
        self.in_flight += 1
        if self.report is not None:
            self.sent_since_report += 1

    def end(self) -> None:
        """Count a request that has ended."""
        self.in_flight -= 1

    def note_report(self, report: LoadReport, now: float) -> None:
        """Store a new load report."""
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0
        self.unanswered = 0

    def note_unanswered(self) -> None:
        """Count a probe that got no answer in time."""
        self.unanswered += 1

    def note_success(self, seconds: float, expected: float, now: float) -> None:
        """Update the latency ratio by a successful request."""
        ratio = min(_MAX_LATENCY_RATIO, seconds / max(expected, 0.001))
        ratio = max(_MIN_LATENCY_RATIO, ratio)
        current = self.latency_ratio_at(now)
        self.latency_ratio = (
            current + (ratio - current) * _LATENCY_RATIO_SMOOTHING
        )
        self.updated_at = now
        self.consecutive_failures = 0
        self.ejections = 0
        self.failure_share -= self.failure_share * _FAILURE_SMOOTHING

    def note_unfinished(
        self,
        seconds: float,
        expected: float,
        now: float,
    ) -> None:
        """
        Update the latency ratio by a request that was cancelled.

        Its latency is a lower bound, so it can only raise the ratio.
        """
        if seconds <= expected:
            return
        ratio = min(_MAX_LATENCY_RATIO, seconds / max(expected, 0.001))
        current = self.latency_ratio_at(now)
        if ratio > current:
            self.latency_ratio = (
                current + (ratio - current) * _LATENCY_RATIO_SMOOTHING
            )
            self.updated_at = now

    def note_failure(self, now: float) -> bool:
        """Count a failure; return whether the server is ejected for it."""
        self.consecutive_failures += 1
        self.failure_share += (1 - self.failure_share) * _FAILURE_SMOOTHING
        self.updated_at = now
        if (
            self.consecutive_failures < _FAILURES_TO_EJECT
            or self.ejected_until > now
        ):
            return False
        seconds = _FIRST_EJECTION_SECONDS * 2**self.ejections
        self.ejected_until = now + min(_LONGEST_EJECTION_SECONDS, seconds)
        self.ejections += 1
        return True

    def forget_failures(self) -> None:
        """Forget failures that were not the server's fault."""
        self.failure_share = 0
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0
        self.latency_ratio = 1
        self.unanswered = 0

    def latency_ratio_at(self, now: float) -> float:
        """Return the observed latency ratio, decayed towards 1."""
        return 1 + (self.latency_ratio - 1) * self._weight(now)

    def failure_share_at(self, now: float) -> float:
        """Return the observed share of failures, decayed towards 0."""
        return self.failure_share * self._weight(now)

    def _weight(self, now: float) -> float:
        return max(0, 1 - (now - self.updated_at) / _HALF_WEIGHT_SECONDS / 2)
