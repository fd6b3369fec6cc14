"""
Choice of servers without a probe, where the probe budget has none left.

It is meant for the moments after many VMs were started at once: the callers of
all of them return together, each VM has only a small part of the budget, and
the servers are idle. A VM then sends a request to a server that it has not sent
one to, as long as the reports it has don't show that most servers are full.
"""

__all__ = ('is_mostly_full', 'unprobed_servers')

from collections.abc import Iterable, Sequence

from zinniaturn.placing.candidates import Candidate
from zinniaturn.placing.latency_estimates import best_concurrency

_REPORT_LIFETIME_SECONDS = 1.0
_MOST_SERVERS = 2
_FULL_SHARE = 0.4


def is_mostly_full(candidates: Iterable[Candidate], now: float) -> bool:
    """Return whether many of the servers that reported lately were full."""
    oldest = now - _REPORT_LIFETIME_SECONDS
    reported = 0
    full = 0
    for candidate in candidates:
        stats = candidate.stats
        report = stats.report
        if report is None or stats.reported_at < oldest:
            continue
        reported += 1
        running = report.total + stats.sent_since_report
        full += running >= best_concurrency(report.slots)
    return full > reported * _FULL_SHARE


def unprobed_servers(order: Sequence[Candidate], now: float) -> list[Candidate]:
    """Return the first servers that are free as far as this VM knows."""
    free = [
        candidate
        for candidate in order
        if not candidate.stats.in_flight
        and not candidate.stats.unanswered
        and candidate.stats.ejected_until <= now
    ]
    return free[:_MOST_SERVERS]
