"""Counters and latency histograms of the gateway process."""

__all__ = ('Counters',)

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 5)


@dataclass(slots=True)
class Latency:
    """Answered requests of one route by their seconds."""

    counts: list[int] = field(
        default_factory=lambda: [0 for _ in range(len(BOUNDS_SECONDS) + 1)],
    )
    total: float = 0

    def add(self, seconds: float) -> None:
        """Count one answer."""
        self.counts[bisect_left(BOUNDS_SECONDS, seconds)] += 1
        self.total += seconds


@dataclass(slots=True)
class Counters:
    """
    Plain numbers, so that counting costs a request next to nothing.

    ``requests`` is keyed by route and outcome, ``events`` by what happened.
    """

    requests: Counter[tuple[str, str]] = field(default_factory=Counter)
    events: Counter[str] = field(default_factory=Counter)
    latencies: dict[str, Latency] = field(default_factory=dict)

    def count(self, route: str, outcome: str) -> None:
        """Count how a request ended."""
        self.requests[route, outcome] += 1

    def observe(self, route: str, seconds: float) -> None:
        """Count how long a successful answer took."""
        self.latencies.setdefault(route, Latency()).add(seconds)
