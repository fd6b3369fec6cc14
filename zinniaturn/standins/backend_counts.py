"""Counters and load history of the simulated backend server."""

__all__ = ('BackendCounts', 'LoadHistory', 'PeakRate')

from collections import Counter, deque
from dataclasses import dataclass, field

_WINDOW_SECONDS = 1.0


class PeakRate:
    """Largest number of events in any sliding window of one second."""

    def __init__(self) -> None:
        self.event_times: deque[float] = deque()
        self.total = 0
        self.peak = 0

    def add(self, now: float) -> None:
        """Count an event at ``now`` seconds."""
        self.event_times.append(now)
        while now - self.event_times[0] >= _WINDOW_SECONDS:
            self.event_times.popleft()
        self.total += 1
        self.peak = max(self.peak, len(self.event_times))


class LoadHistory:
    """Recent load reports, for endpoints that report with a lag."""

    def __init__(self) -> None:
        self.changes: deque[tuple[float, str]] = deque()

    def add(self, now: float, load_report: str, lag_seconds: float) -> None:
        """Record a load that holds from ``now`` on; drop expired records."""
        self.changes.append((now, load_report))
        while len(self.changes) > 1 and self.changes[1][0] < now - lag_seconds:
            self.changes.popleft()

    def load_at(self, wanted_at: float, default_report: str) -> str:
        """Return the load at ``wanted_at``, or the default if none is known."""
        load_report = default_report
        for changed_at, changed_report in self.changes:
            if changed_at > wanted_at:
                break
            load_report = changed_report
        return load_report


@dataclass(slots=True)
class BackendCounts:
    """Executions and cancellations by request id, and other totals."""

    executions: Counter[str] = field(default_factory=Counter)
    cancelled: Counter[str] = field(default_factory=Counter)
    measuring: PeakRate = field(default_factory=PeakRate)
    shed: int = 0
    failed: int = 0
