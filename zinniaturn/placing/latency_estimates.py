"""
Estimates the latency of a request at a server.

An estimate combines the server's last load report with what this VM has
observed of it. It is meant for servers with few slots on VMs with noisy
neighbours: a request keeps, for its whole run, the slowness that the VM has
when the request starts, while requests that are still queued will start at
the usual slowness.
"""

__all__ = ('ServiceTimeEstimates', 'best_concurrency', 'expected_seconds')

from dataclasses import dataclass, field

from zinniaturn.choosing.reports import LoadReport
from zinniaturn.placing.server_stats import ServerStats

# Slowness at which queued requests are taken to run.
_USUAL_SLOWNESS = 1.3
# Above this share of busy slots, requests take longer by the factor.
_CROWDED_SLOTS_SHARE = 0.8
_CROWDED_LATENCY_FACTOR = 1.6
# A server that fails every request counts as slower by 1 + this.
_FAILURE_PENALTY_FACTOR = 4.0
_SMOOTHING = 0.08
# The first samples of a route move its estimate faster.
_FIRST_SMOOTHING = 0.5
_FIRST_SAMPLES = 6
# Without a response, so many seconds pass from one trial to the next.
_TRIAL_INTERVAL_SECONDS = 1.0


def expected_seconds(
    service_seconds: float,
    report: LoadReport,
    stats: ServerStats,
    now: float,
) -> float:
    """
    Return the seconds until the response to a request that is sent now.

    ``service_seconds`` is the request's service time on an idle server of
    usual speed.

    >>> stats = ServerStats()
    >>> idle = LoadReport(0, 0, 4)
    >>> round(expected_seconds(0.1, idle, stats, 0), 3)
    0.1
    >>> slow = LoadReport(0, 0, 4, slowness=4.0)
    >>> round(expected_seconds(0.1, slow, stats, 0), 3)
    0.4
    """
    slots = max(1, report.slots)
    running = report.busy + stats.sent_since_report
    crowd_factor = 1.0
    if (running + 1) / slots > _CROWDED_SLOTS_SHARE:
        crowd_factor = _CROWDED_LATENCY_FACTOR
    latency_ratio = stats.latency_ratio_at(now)
    seconds = service_seconds * crowd_factor * latency_ratio * report.slowness
    ahead = running + report.queued - slots + 1
    if ahead > 0:
        queued_seconds = (
            service_seconds * crowd_factor * latency_ratio * _USUAL_SLOWNESS
        )
        seconds += queued_seconds * ahead / slots
    failure_share = stats.failure_share_at(now)
    return seconds * (1 + failure_share * _FAILURE_PENALTY_FACTOR)


def best_concurrency(slots: int) -> int:
    """
    Return the number of concurrent requests with the highest throughput.

    >>> [best_concurrency(slots) for slots in (1, 2, 3, 4, 8)]
    [1, 2, 2, 3, 6]
    """
    uncrowded = int(slots * _CROWDED_SLOTS_SHARE)
    if slots / _CROWDED_LATENCY_FACTOR > uncrowded:
        return slots
    return max(1, uncrowded)


@dataclass(slots=True)
class ServiceTimeEstimates:
    """
    The service time of each route's requests on an idle server, in seconds.

    The server is taken to have its usual speed. A route without any sample is
    taken to need a share of its objective. ``barred_at`` has the routes whose
    estimates reject requests, with the time of the first rejection or the last
    trial since the last response.
    """

    estimates: dict[str, float] = field(default_factory=dict)
    samples: dict[str, int] = field(default_factory=dict)
    barred_at: dict[str, float] = field(default_factory=dict)

    def is_settled(self, route: str) -> bool:
        """Return whether the estimate rests on several responses."""
        return self.samples.get(route, 0) >= _FIRST_SAMPLES

    def service_seconds(self, route: str, objective_seconds: float) -> float:
        """Return the estimate for a route."""
        return self.estimates.get(route, _first_estimate(objective_seconds))

    def seconds_to_place_by(
        self, route: str, objective_seconds: float, now: float
    ) -> float:
        """
        Return the estimate by which a new request is placed.

        An estimate that exceeds the time limits of a route's requests bars all
        of them, so that no response would ever correct it. One request a second
        is then placed as if the route had no samples.
        """
        barred_at = self.barred_at.get(route)
        if barred_at is None or now - barred_at < _TRIAL_INTERVAL_SECONDS:
            return self.service_seconds(route, objective_seconds)
        self.barred_at[route] = now
        self.samples.pop(route, None)
        return _first_estimate(objective_seconds)

    def note_barred(self, route: str, now: float) -> None:
        """Record that the estimate left no time to serve a new request."""
        self.barred_at.setdefault(route, now)

    def update(
        self,
        route: str,
        objective_seconds: float,
        seconds: float,
        expected: float,
        placed_by: float,
    ) -> None:
        """
        Correct the estimate by the ratio of actual to expected latency.

        ``placed_by`` is the estimate that the expected latency was derived
        from. Of requests that ran at the same time each would otherwise
        multiply what the others have already corrected.
        """
        self.barred_at.pop(route, None)
        current = self.service_seconds(route, objective_seconds)
        ratio = seconds / max(expected, 0.001)
        weight = _FIRST_SMOOTHING
        if self.is_settled(route):
            ratio = min(2.0, max(0.5, ratio))
            weight = _SMOOTHING
        self.estimates[route] = current + (placed_by * ratio - current) * weight
        self.samples[route] = self.samples.get(route, 0) + 1


def _first_estimate(objective_seconds: float) -> float:
    """Return the estimate for a route without any sample."""
    return objective_seconds * 0.4 if objective_seconds else 0.1
