"""The hedge threshold, a quantile of recent latencies."""

__all__ = ('RecentLatencies',)

from collections import deque

_MAX_SAMPLES = 400
_MIN_SAMPLES = 50
_SAMPLES_PER_COMPUTATION = 20


class RecentLatencies:
    """
    The latest latencies and the quantile of them after which to hedge.

    ``quantile`` is between 0 and 1. ``threshold`` is in seconds, and ``None``
    until 50 latencies are known.
    """

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.recent: deque[float] = deque(maxlen=_MAX_SAMPLES)
        self.threshold: float | None = None
        self.since_computed = 0

    def add(self, seconds: float) -> None:
        """Add a latency in seconds."""
        self.recent.append(seconds)
        self.since_computed += 1
        if len(self.recent) < _MIN_SAMPLES:
            return
        if (
            self.since_computed >= _SAMPLES_PER_COMPUTATION
            or self.threshold is None
        ):
            self.since_computed = 0
            ordered = sorted(self.recent)
            self.threshold = ordered[int(self.quantile * (len(ordered) - 1))]
