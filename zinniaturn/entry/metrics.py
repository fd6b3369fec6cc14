"""Metrics of the data plane."""

__all__ = ('EntryMetrics',)

from collections import Counter as Counts

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render


class EntryMetrics:
    """The entry's metrics and their registry."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.told: Counts[tuple[str, str]] = Counts()
        self.requests = Counter(
            'zinniaturn_requests_total',
            'Requests by pool and by what the caller was told.',
            registry=self.registry,
        )
        self.revision = Gauge(
            'zinniaturn_tables_revision',
            'Revision of the tables in force.',
            registry=self.registry,
        )

        self.measuring = Counter(
            'zinniaturn_measuring_requests_total',
            'Measuring requests sent, by pool, over all its servers.',
            registry=self.registry,
        )
        self.measuring_budget = Gauge(
            'zinniaturn_measuring_budget',
            'Agreed measuring requests per second per server, by pool.',
            registry=self.registry,
        )

    def count_measuring(self, pool: str) -> None:
        """Count a measuring request to a server of ``pool``."""
        self.measuring.inc({'pool': pool})

    def count(self, pool: str, told: str) -> None:
        """Count a request of ``pool`` that ended as ``told``."""
        self.told[pool, told] += 1

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the exposition's body and headers."""
        for (pool, told), count in self.told.items():
            self.requests.set({'pool': pool, 'told': told}, count)
        content, headers = render(self.registry, accept)
        return content, dict(headers)
