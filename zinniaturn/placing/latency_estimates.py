"""
How long a request would take at a server, by its report and our memory.

It answers the load of few slots a server on VMs with noisy neighbours: the
slowness at which a request begins holds for all of it, while those ahead of it
in a queue meet the usual one.
"""

__all__ = ('ServiceTimeEstimates', 'best_concurrency', 'expected_seconds')

from dataclasses import dataclass, field

from zinniaturn.choosing.reports import LoadReport
from zinniaturn.placing.server_stats import ServerStats

_USUAL_SLOWNESS = 1.3
_CROWDED_SHARE = 0.8
_CROWDED_FACTOR = 1.6
_FAILURE_FACTOR = 4.0
_WORK_WEIGHT = 0.08
_FIRST_WEIGHT = 0.5
_FIRST_SAMPLES = 6


def expected_seconds(
    service_seconds: float,
    report: LoadReport,
    stats: ServerStats,
    now: float,
) -> float:
    """
    Return the seconds until an answer to a request that is sent now.

    >>> stats = ServerStats()
    >>> idle = LoadReport(0, 0, 4)
    >>> round(expected_seconds(0.1, idle, stats, 0), 3)
    0.1
    >>> slow = LoadReport(0, 0, 4, slowness=4.0)
    >>> round(expected_seconds(0.1, slow, stats, 0), 3)
    0.4
    """
    slots = max(1, report.slots)
    running = report.busy + stats.sent_since(stats.reported_at)
    crowd = 1.0
    if (running + 1) / slots > _CROWDED_SHARE:
        crowd = _CROWDED_FACTOR
    learned = stats.slowness_at(now)
    own = service_seconds * crowd * learned * report.slowness
    ahead = running + report.queued - slots + 1
    if ahead > 0:
        each = service_seconds * crowd * learned * _USUAL_SLOWNESS
        own += each * ahead / slots
    failing = stats.failure_share_at(now)
    return own * (1 + failing * _FAILURE_FACTOR)


def best_concurrency(slots: int) -> int:
    """
    Return how many requests at once a server gets most done with.

    >>> [best_concurrency(slots) for slots in (1, 2, 3, 4, 8)]
    [1, 2, 2, 3, 6]
    """
    uncrowded = int(slots * _CROWDED_SHARE)
    if slots / _CROWDED_FACTOR > uncrowded:
        return slots
    return max(1, uncrowded)


@dataclass(slots=True)
class ServiceTimeEstimates:
    """
    How long the work of a route's requests takes on an idle, usual server.

    Until something is known it is taken as a share of the route's objective.
    """

    known: dict[str, float] = field(default_factory=dict)
    samples: dict[str, int] = field(default_factory=dict)

    def is_settled(self, route: str) -> bool:
        """Return whether the estimate rests on several answers."""
        return self.samples.get(route, 0) >= _FIRST_SAMPLES

    def service_seconds(self, route: str, objective_seconds: float) -> float:
        """Return the estimate for a route."""
        usual = objective_seconds * 0.4 if objective_seconds else 0.1
        return self.known.get(route, usual)

    def update(
        self,
        route: str,
        objective_seconds: float,
        seconds: float,
        expected: float,
    ) -> None:
        """Correct the estimate by how far an answer was off."""
        current = self.service_seconds(route, objective_seconds)
        ratio = seconds / max(expected, 0.001)
        weight = _FIRST_WEIGHT
        if self.is_settled(route):
            ratio = min(2.0, max(0.5, ratio))
            weight = _WORK_WEIGHT
        self.known[route] = current + current * (ratio - 1) * weight
        self.samples[route] = self.samples.get(route, 0) + 1
