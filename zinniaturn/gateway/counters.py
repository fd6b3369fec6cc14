"""Counters and latency histograms of the gateway process."""

__all__ = ('Counters',)

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

BUCKET_BOUNDS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    1,
    2,
    5,
)


@dataclass(slots=True)
class LatencyHistogram:
    """Answered requests of one route by their seconds."""

    bucket_counts: list[int] = field(
        default_factory=lambda: [
            0 for _ in range(len(BUCKET_BOUNDS_SECONDS) + 1)
        ],
    )
    total_seconds: float = 0

    def observe(self, seconds: float) -> None:
        """Count one answer."""
        self.bucket_counts[bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total_seconds += seconds


@dataclass(slots=True)
class Counters:
    """
    Plain numbers, so that counting costs a request next to nothing.

    ``requests`` is keyed by route and outcome, ``events`` by what happened.
    """

    requests: Counter[tuple[str, str]] = field(default_factory=Counter)
    events: Counter[str] = field(default_factory=Counter)
    latency_histograms: dict[str, LatencyHistogram] = field(
        default_factory=dict
    )

    def count_request(self, route: str, outcome: str) -> None:
        """Count how a request ended."""
        self.requests[route, outcome] += 1

    def observe_latency(self, route: str, seconds: float) -> None:
        """Count how long a successful answer took."""
        self.latency_histograms.setdefault(route, LatencyHistogram()).observe(
            seconds
        )
