"""What a stand-in of a backend server counts."""

__all__ = ('BackendCounts', 'LoadHistory', 'SlidingPeak')

from collections import Counter, deque
from dataclasses import dataclass, field

_WINDOW_SECONDS = 1.0


class SlidingPeak:
    """The most events in any window of one second."""

    def __init__(self) -> None:
        self.times: deque[float] = deque()
        self.total = 0
        self.peak = 0

    def add(self, now: float) -> None:
        """Count an event at ``now`` seconds."""
        self.times.append(now)
        while now - self.times[0] >= _WINDOW_SECONDS:
            self.times.popleft()
        self.total += 1
        self.peak = max(self.peak, len(self.times))


class LoadHistory:
    """The load over time, for endpoints whose word lags."""

    def __init__(self) -> None:
        self.changes: deque[tuple[float, str]] = deque()

    def add(self, now: float, figures: str, lag_seconds: float) -> None:
        """Note the load from ``now`` on."""
        self.changes.append((now, figures))
        while len(self.changes) > 1 and self.changes[1][0] < now - lag_seconds:
            self.changes.popleft()

    def at(self, moment: float, otherwise: str) -> str:
        """Return the load as it was at ``moment``."""
        found = otherwise
        for changed_at, figures in self.changes:
            if changed_at > moment:
                break
            found = figures
        return found


@dataclass(slots=True)
class BackendCounts:
    """Executions and cancellations by request id, and measuring requests."""

    executions: Counter[str] = field(default_factory=Counter)
    cancelled: Counter[str] = field(default_factory=Counter)
    measuring: SlidingPeak = field(default_factory=SlidingPeak)
    shed: int = 0
    failed: int = 0
