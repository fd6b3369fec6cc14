"""Counters and latency histograms of the gateway process."""

__all__ = ('Counters', 'TenantRejections')

from bisect import bisect_left
from collections import Counter, OrderedDict
from collections.abc import Mapping
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
_MOST_TENANTS = 4096


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
class TenantRejections:
    """
    Rejections by tenant and code; the least recently rejected are dropped.

    >>> rejections = TenantRejections()
    >>> rejections.note('gold', 'over-allowance')
    >>> dict(rejections.of('gold')), dict(rejections.of('coal'))
    ({'over-allowance': 1}, {})
    """

    by_tenant: 'OrderedDict[str, Counter[str]]' = field(
        default_factory=OrderedDict
    )

    def note(self, tenant: str, code: str) -> None:
        """Count a rejected request of a tenant."""
        counts = self.by_tenant.setdefault(tenant, Counter())
        counts[code] += 1
        self.by_tenant.move_to_end(tenant)
        if len(self.by_tenant) > _MOST_TENANTS:
            self.by_tenant.popitem(last=False)

    def of(self, tenant: str) -> Mapping[str, int]:
        """Return a tenant's rejections by code."""
        return self.by_tenant.get(tenant, Counter())


@dataclass(slots=True)
class Counters:
    """
    Plain integers, which are cheaper to update than a metrics library's.

    ``requests`` is keyed by route and outcome, ``events`` by the event's name,
    ``latency_histograms`` by route. ``tenant_rejections`` are for operators
    alone, as metrics don't grow with the number of tenants.
    """

    requests: Counter[tuple[str, str]] = field(default_factory=Counter)
    events: Counter[str] = field(default_factory=Counter)
    latency_histograms: dict[str, LatencyHistogram] = field(
        default_factory=dict
    )
    tenant_rejections: TenantRejections = field(
        default_factory=TenantRejections
    )

    def count_request(self, route: str, outcome: str) -> None:
        """Count a finished request by its outcome."""
        self.requests[route, outcome] += 1

    def observe_latency(self, route: str, seconds: float) -> None:
        """Count the latency of a successful response."""
        self.latency_histograms.setdefault(route, LatencyHistogram()).observe(
            seconds
        )
