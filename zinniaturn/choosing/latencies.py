"""Quantiles of recent latencies."""

__all__ = ('RecentLatencies',)

from collections import deque

_KEPT = 400
_FEWEST = 50
_RECOMPUTE_EVERY = 20


class RecentLatencies:
    """
    The latest latencies and the quantile of them after which to hedge.

    ``quantile`` is between 0 and 1. `threshold` is ``None`` until enough
    latencies are known.
    """

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.recent: deque[float] = deque(maxlen=_KEPT)
        self.threshold: float | None = None
        self.since_computed = 0

    def add(self, seconds: float) -> None:
        """Note a latency in seconds."""
        self.recent.append(seconds)
        self.since_computed += 1
        if len(self.recent) < _FEWEST:
            return
        if self.since_computed >= _RECOMPUTE_EVERY or self.threshold is None:
            self.since_computed = 0
            ordered = sorted(self.recent)
            self.threshold = ordered[int(self.quantile * (len(ordered) - 1))]
