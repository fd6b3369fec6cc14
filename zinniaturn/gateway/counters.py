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
    """Latencies of the successful responses of one route."""

    bucket_counts: list[int] = field(
        default_factory=lambda: [
            0 for _ in range(len(BUCKET_BOUNDS_SECONDS) + 1)
        ],
    )
    total_seconds: float = 0

    def observe(self, seconds: float) -> None:
        """Count one response."""
        self.bucket_counts[bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total_seconds += seconds


@dataclass(slots=True)
class Counters:
    """
    Plain integers, which are cheaper to update than a metrics library's.

    ``requests`` is keyed by route and outcome, ``events`` by the event's name,
    ``latency_histograms`` by route.
    """

    requests: Counter[tuple[str, str]] = field(default_factory=Counter)
    events: Counter[str] = field(default_factory=Counter)
    latency_histograms: dict[str, LatencyHistogram] = field(
        default_factory=dict
    )

    def count_request(self, route: str, outcome: str) -> None:
        """Count a finished request by its outcome."""
        self.requests[route, outcome] += 1

    def observe_latency(self, route: str, seconds: float) -> None:
        """Count the latency of a successful response."""
        self.latency_histograms.setdefault(route, LatencyHistogram()).observe(
            seconds
        )
