"""
The Prometheus metrics of an entry.

Counts on the request path are plain numbers, which are cheap to update. They
are copied to the library's collectors when the metrics are scraped.
"""

__all__ = ('LATENCY_BOUNDS', 'EntryMetrics')

from bisect import bisect_left
from collections import Counter as Counts
from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import accumulate

from aioprometheus import Counter, Gauge, Registry
from aioprometheus import Histogram as HistogramCollector
from aioprometheus.histogram import POS_INF, Histogram
from aioprometheus.renderer import render

LATENCY_BOUNDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
    30,
    POS_INF,
)


@dataclass(slots=True)
class Latencies:
    """Histogram of the seconds until requests were answered."""

    counts: list[int] = field(
        default_factory=lambda: [0 for _ in LATENCY_BOUNDS],
    )
    total: float = 0

    def add(self, seconds: float) -> None:
        """Count one request."""
        self.counts[bisect_left(LATENCY_BOUNDS, seconds)] += 1
        self.total += seconds

    def histogram(self) -> Histogram:
        """Return the counts as the library's histogram."""
        histogram = Histogram(*LATENCY_BOUNDS)
        histogram.buckets = OrderedDict(
            zip(LATENCY_BOUNDS, accumulate(self.counts), strict=True),
        )
        histogram.observations = sum(self.counts)
        histogram.sum = self.total
        return histogram


class EntryMetrics:
    """The collectors of an entry and their registry."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.outcome_counts: Counts[tuple[str, str]] = Counts()
        self.latencies: dict[str, Latencies] = {}
        self._add_request_metrics()
        self._add_server_metrics()
        self._add_control_plane_metrics()

    def count(self, pool: str, outcome: str) -> None:
        """Count a request of ``pool`` that ended with ``outcome``."""
        self.outcome_counts[pool, outcome] += 1

    def observe(self, pool: str, seconds: float) -> None:
        """Add the seconds until a request of ``pool`` was answered."""
        latencies = self.latencies.get(pool)
        if latencies is None:
            latencies = Latencies()
            self.latencies[pool] = latencies
        latencies.add(seconds)

    def count_measuring_request(self, pool: str) -> None:
        """Count a measuring request to a server of ``pool``."""
        self.measuring_requests.inc({'pool': pool})

    def count_event(self, event: int) -> None:
        """Count a numbered log event."""
        self.events.inc({'event': str(event)})

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of the exposition."""
        for (pool, outcome), count in self.outcome_counts.items():
            self.requests.set({'pool': pool, 'told': outcome}, count)
        for name, latencies in self.latencies.items():
            self.request_seconds.set_value(
                {'pool': name}, latencies.histogram()
            )
        content, headers = render(self.registry, accept)
        return content, dict(headers)

    def _add_request_metrics(self) -> None:
        self.requests = self._counter(
            'zinniaturn_requests_total',
            'Requests by pool and by what the caller was told.',
        )
        self.request_seconds = HistogramCollector(
            'zinniaturn_request_seconds',
            'Seconds until a request was answered, by pool.',
            registry=self.registry,
            buckets=LATENCY_BOUNDS,
        )
        self.in_flight = self._gauge(
            'zinniaturn_requests_in_flight',
            'Requests in flight.',
        )
        self.cut_responses = self._counter(
            'zinniaturn_answers_cut_total',
            'Answers that broke off after their head was sent.',
        )
        self.requests_cut_while_stopping = self._counter(
            'zinniaturn_stop_cut_requests_total',
            'Requests that broke off while the entry was stopping.',
        )
        self.connections = self._gauge(
            'zinniaturn_caller_connections',
            'Open connections from callers.',
        )
        self.closed_connections = self._counter(
            'zinniaturn_caller_connections_closed_total',
            'Connections that a limit closed, by the limit.',
        )

    def _add_server_metrics(self) -> None:
        self.servers = self._gauge(
            'zinniaturn_servers',
            'Backend servers, by pool and state.',
        )
        self.waiting_requests = self._gauge(
            'zinniaturn_requests_waiting',
            'Requests that wait for a server, by pool.',
        )
        self.sent_to_leaving = self._counter(
            'zinniaturn_sent_to_leaving_total',
            'Requests sent to a server known to be leaving, by pool.',
        )
        self.measuring_requests = self._counter(
            'zinniaturn_measuring_requests_total',
            'Measuring requests sent, by pool, over all its servers.',
        )
        self.measuring_budget = self._gauge(
            'zinniaturn_measuring_budget',
            'Agreed measuring requests per second per server, by pool.',
        )

    def _add_control_plane_metrics(self) -> None:
        self.revision = self._gauge(
            'zinniaturn_tables_revision',
            'Revision of the tables in force.',
        )
        self.confirmed_age = self._gauge(
            'zinniaturn_tables_confirmed_age_seconds',
            'Seconds since the store or a peer confirmed the revision.',
        )
        self.ready = self._gauge(
            'zinniaturn_entry_ready',
            '1 while the entry takes requests, else 0.',
        )
        self.peers = self._gauge(
            'zinniaturn_peers',
            'Other entries by state.',
        )
        self.events = self._counter(
            'zinniaturn_events_total',
            'Numbered log events, by number.',
        )

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(name, help_text, registry=self.registry)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        return Gauge(name, help_text, registry=self.registry)
