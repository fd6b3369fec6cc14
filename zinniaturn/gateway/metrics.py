"""
Renders the gateway's counters in the Prometheus text format.

The metrics library is imported at the first scrape, and its collectors are
filled with copies of the plain counters. So a process that is never scraped
does not spend memory on the library.
"""

__all__ = ('MetricsSnapshot', 'build_registry', 'render_metrics')

from dataclasses import dataclass, field
from itertools import accumulate
from types import MappingProxyType
from typing import TYPE_CHECKING

from zinniaturn.gateway.counters import BUCKET_BOUNDS_SECONDS, Counters
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.client_account import ClientAccount
from zinniaturn.locality.departures import Departures

if TYPE_CHECKING:
    from aioprometheus import Counter, Registry

_MAX_AGE_SECONDS = 1e6
# The gauges without labels: the name and help text of each figure.
_GAUGES = MappingProxyType(
    {
        'state_age_seconds': (
            'zinniaturn_gateway_state_age_seconds',
            'Seconds since the state held was last confirmed',
        ),
        'proof_age_seconds': (
            'zinniaturn_gateway_tables_proof_age_seconds',
            "Seconds since the tables in force were surely the store's newest",
        ),
        'vms_alive': (
            'zinniaturn_gateway_vms_alive',
            'Other VMs that are heard',
        ),
        'requests_held': (
            'zinniaturn_gateway_requests_held',
            'Requests that are kept from servers, as they end them',
        ),
        'data_centres_evacuated': (
            'zinniaturn_gateway_data_centres_evacuated',
            'Data centres whose servers get no requests',
        ),
        'locality_on': (
            'zinniaturn_gateway_locality_on',
            '1 while data centres are taken into account',
        ),
        'servers_cold': (
            'zinniaturn_gateway_servers_cold',
            'Servers that get few requests while they warm up',
        ),
        'client_bytes': (
            'zinniaturn_gateway_client_bytes',
            'Bytes held for clients and of responses',
        ),
        'client_connections': (
            'zinniaturn_gateway_client_connections',
            'Connections of clients at all ports',
        ),
    }
)


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """The numbers that one scrape shows."""

    counters: Counters
    state_age_seconds: float
    vms_alive: int
    requests_held: int = 0
    departures: Departures = field(default_factory=Departures)
    data_centres_evacuated: int = 0
    proof_age_seconds: float = 0
    client_bytes: int = 0
    client_connections: int = 0
    locality_on: int = 0
    servers_cold: int = 0


def render_metrics(
    state: GatewayState, clients: ClientAccount | None = None
) -> bytes:
    """Return the body of the response to a scrape."""
    from aioprometheus.formats import text

    age = min(_MAX_AGE_SECONDS, state.fleet_state.age_seconds)
    permits = state.gossip.permits
    events = state.counters.events
    events['permits_requested'] = permits.requested
    events['permits_granted'] = permits.granted
    events['permits_refused'] = permits.refused
    snapshot = MetricsSnapshot(
        state.counters,
        age,
        len(state.vms.alive_vms()),
        len(state.quarantine.held()),
        state.locality.departures,
        len(state.fleet_state.evacuated),
        min(_MAX_AGE_SECONDS, state.fleet_state.proof.age_seconds),
        0 if clients is None else clients.budget.held,
        0 if clients is None else clients.connection_count,
        int(state.locality.activation.is_on),
        sum(
            candidate.admission.is_cold
            for candidates in state.pools.values()
            for candidate in candidates.values()
        ),
    )
    return text.TextFormatter().marshall(build_registry(snapshot))


def build_registry(snapshot: MetricsSnapshot) -> 'Registry':
    """Return a registry of collectors that hold the snapshot's numbers."""
    from aioprometheus import Gauge, Registry

    registry = Registry()
    counters = snapshot.counters
    requests = _counter(
        registry, 'zinniaturn_gateway_requests_total', 'Requests'
    )
    for (route, outcome), count in counters.requests.items():
        requests.set({'route': route, 'outcome': outcome}, count)
    events = _counter(
        registry, 'zinniaturn_gateway_events_total', 'Events by kind'
    )
    for name, count in counters.events.items():
        events.set({'event': name}, count)
    _add_latency_histograms(registry, counters)
    _add_departures(registry, snapshot.departures)
    for figure, (name, help_text) in _GAUGES.items():
        gauge = Gauge(name, help_text, registry=registry)
        gauge.set({}, getattr(snapshot, figure))
    return registry


def _counter(registry: 'Registry', name: str, help_text: str) -> 'Counter':
    from aioprometheus import Counter

    return Counter(name, help_text, registry=registry)


def _add_departures(registry: 'Registry', departures: Departures) -> None:
    requests = _counter(
        registry,
        'zinniaturn_gateway_departures_total',
        'Requests served in other data centres',
    )
    size = _counter(
        registry,
        'zinniaturn_gateway_departure_bytes_total',
        'Bytes of responses from other data centres',
    )
    for (data_center, reason), count in departures.requests.items():
        labels = {'data_center': data_center, 'reason': reason}
        requests.set(labels, count)
        size.set(labels, departures.size[data_center, reason])


def _add_latency_histograms(registry: 'Registry', counters: Counters) -> None:
    from aioprometheus import Histogram
    from aioprometheus.histogram import Histogram as BucketCounts

    histogram = Histogram(
        'zinniaturn_gateway_answer_seconds',
        'Seconds until a successful answer',
        buckets=BUCKET_BOUNDS_SECONDS,
        registry=registry,
    )
    bounds = (*BUCKET_BOUNDS_SECONDS, float('inf'))
    for route, latency in counters.latency_histograms.items():
        buckets = BucketCounts(*bounds)
        cumulative = accumulate(latency.bucket_counts)
        buckets.buckets.update(zip(bounds, cumulative, strict=True))
        buckets.observations = sum(latency.bucket_counts)
        buckets.sum = latency.total_seconds
        histogram.values[_labels(route)] = buckets


def _labels(route: str) -> dict[str, str]:
    return {'route': route}
