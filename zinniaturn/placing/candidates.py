"""Servers that a request may go to, rated by what was observed of them."""

__all__ = (
    'Candidate',
    'ReportRating',
    'cold_candidates',
    'had_room_recently',
    'is_poor_now',
    'rate_report',
    'unavailability_rank',
)

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from itertools import islice

from zinniaturn.admission.admission import Admission
from zinniaturn.fleet.domain import RegisteredServer
from zinniaturn.http1.connections import Address
from zinniaturn.placing.latency_estimates import best_concurrency
from zinniaturn.placing.server_stats import ServerStats

_UNRESPONSIVE_AFTER_PROBES = 2
_REPORT_LIFETIME_SECONDS = 0.25
_SLOW_ABOVE_SLOWNESS = 1.5
# A full server has a free slot again after about this time. With the whole
# lifetime of a report, a VM with many requests took its data centre for full:
# at 85 % load 0.26 of the bytes left it in the model instead of 0.11.
_FULL_SECONDS = 0.06
_MOST_COLD = 2


@dataclass(slots=True)
class Candidate:
    """A server, what was observed of it, and what it said it wants."""

    registered: RegisteredServer
    stats: ServerStats
    admission: Admission

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.registered.server.name

    @property
    def address(self) -> Address:
        """Return the address on which the server accepts connections."""
        return self.registered.server.host, self.registered.server.port


def cold_candidates(
    candidates: Iterable[Candidate], now: float
) -> list[Candidate]:
    """
    Return a few responsive servers that are cold and may get a request.

    The permits for them last for a moment only. A server that is chosen as
    rarely as it has permits would not get the requests that it takes.
    """
    cold = (
        candidate
        for candidate in candidates
        if candidate.admission.is_cold
        and not unavailability_rank(candidate.stats, now)
    )
    return list(islice(cold, _MOST_COLD))


def had_room_recently(candidate: Candidate, now: float) -> bool:
    """Return whether a recent report shows a fast server with room."""
    return rate_report(candidate, now) is ReportRating.GOOD


class ReportRating(IntEnum):
    """Rating of a server by its last report, the best first."""

    GOOD = 0
    UNKNOWN = 1
    BAD = 2


def rate_report(candidate: Candidate, now: float) -> ReportRating:
    """Return the rating of a server by its last report."""
    stats = candidate.stats
    report = stats.report
    if report is None or now - stats.reported_at > _REPORT_LIFETIME_SECONDS:
        return ReportRating.UNKNOWN
    running = report.total + stats.sent_since_report
    is_full = running >= best_concurrency(report.slots)
    if is_full or report.slowness > _SLOW_ABOVE_SLOWNESS:
        return ReportRating.BAD
    return ReportRating.GOOD


def is_poor_now(candidate: Candidate, now: float) -> bool:
    """
    Return whether another data centre's servers come before this one.

    It does not respond, is slow, or was full a moment ago.
    """
    stats = candidate.stats
    if unavailability_rank(stats, now) > 0:
        return True
    if stats.report is None or rate_report(candidate, now) < ReportRating.BAD:
        return False
    is_slow = stats.report.slowness > _SLOW_ABOVE_SLOWNESS
    return is_slow or now - stats.reported_at < _FULL_SECONDS


def unavailability_rank(stats: ServerStats, now: float) -> int:
    """Return 0 for a usable server, more for unresponsive and ejected ones."""
    is_ejected = stats.ejected_until > now
    return is_ejected * 2 + (stats.unanswered >= _UNRESPONSIVE_AFTER_PROBES)
