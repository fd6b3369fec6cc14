"""
Selects the servers to probe for a request and limits the rate of probes.

Load reports that come with responses are seconds old, since each VM handles
few requests per second. So a VM probes a few servers right before it sends a
request, and further ones only where none of those can serve it soon.
"""

__all__ = (
    'Candidate',
    'ProbeBudget',
    'ProbeBudgets',
    'ProbeEffort',
    'ProbeOrder',
    'had_room_recently',
)

import random
import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from itertools import accumulate

from zinniaturn.fleet.domain import RegisteredServer
from zinniaturn.http1.connections import Address
from zinniaturn.placing.latency_estimates import best_concurrency
from zinniaturn.placing.server_stats import ServerStats

_UNRESPONSIVE_AFTER_PROBES = 2
# A budget holds at most the tokens of this time.
_BURST_SECONDS = 6.0
_REPORT_LIFETIME_SECONDS = 0.25
_SLOW_ABOVE_SLOWNESS = 1.5
_MINIMAL_PROBES = 2
# Limits between the probe efforts, in seconds that refilling the tokens takes.
_SCARCE_BUDGET_SECONDS = 0.5
_AMPLE_BUDGET_SECONDS = 2.0
# A pool may use this multiple of its servers' share of the budget.
_POOL_SHARE_FACTOR = 2.0
# A process starts with the tokens of this time.
_INITIAL_TOKENS_SECONDS = 1.5


@dataclass(slots=True)
class Candidate:
    """A server that a request may go to, and what was observed of it."""

    registered: RegisteredServer
    stats: ServerStats

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.registered.server.name

    @property
    def address(self) -> Address:
        """Return the address on which the server accepts connections."""
        return self.registered.server.host, self.registered.server.port


class ProbeEffort(Enum):
    """
    How many servers may be probed for one request.

    ``ALL_ROUNDS`` is for an ample budget, ``FIRST_ROUND`` for a smaller one and
    ``MINIMAL`` for one that is nearly used up. ``NO_PROBES`` is for a request
    that is late while others that can be in time need the probes.
    """

    ALL_ROUNDS = auto()
    FIRST_ROUND = auto()
    MINIMAL = auto()
    NO_PROBES = auto()


@dataclass(slots=True)
class ProbeOrder:
    """
    Orders servers for probing and splits them into small rounds.

    Responsive servers that are not ejected come first; among these the ones
    that had room and were fast in a recent report, then the near ones. Near are
    ``near_count`` servers of the VM's own data centre, always the same ones, so
    that connections to them stay open. Otherwise the order is random.
    """

    random_source: random.Random
    vm: str
    data_center: str
    round_sizes: tuple[int, ...] = (3, 3, 5)
    near_count: int = 8

    def order(
        self,
        candidates: Sequence[Candidate],
        now: float,
    ) -> list[Candidate]:
        """Return the servers to probe, the first one first."""
        near = self._near_names(candidates)
        shuffled = list(candidates)
        self.random_source.shuffle(shuffled)
        shuffled.sort(
            key=lambda candidate: (
                _unavailability_rank(candidate.stats, now),
                _rate_report(candidate, now),
                candidate.name not in near,
            ),
        )
        return shuffled[: sum(self.round_sizes)]

    def rounds(
        self,
        order: Sequence[Candidate],
        probe_effort: ProbeEffort,
    ) -> list[Sequence[Candidate]]:
        """Split servers into the rounds that the probe effort allows."""
        match probe_effort:
            case ProbeEffort.ALL_ROUNDS:
                sizes = self.round_sizes
            case ProbeEffort.FIRST_ROUND:
                sizes = self.round_sizes[:1]
            case ProbeEffort.MINIMAL:
                sizes = (_MINIMAL_PROBES,)
            case ProbeEffort.NO_PROBES:
                sizes = ()
        ends = list(accumulate(sizes))
        starts = [0, *ends]
        spans = zip(starts, ends, strict=False)
        rounds = [order[start:end] for start, end in spans]
        return [group for group in rounds if group]

    def _near_names(self, candidates: Sequence[Candidate]) -> set[str]:
        own = [
            candidate.name
            for candidate in candidates
            if candidate.registered.server.data_center == self.data_center
        ]
        own.sort(key=lambda name: zlib.crc32(f'{self.vm} {name}'.encode()))
        return set(own[: self.near_count])


def had_room_recently(candidate: Candidate, now: float) -> bool:
    """Return whether a recent report shows a fast server with room."""
    return _rate_report(candidate, now) is _ReportRating.GOOD


class _ReportRating(IntEnum):
    """Rating of a server by its last report, the best first."""

    GOOD = 0
    UNKNOWN = 1
    BAD = 2


def _rate_report(candidate: Candidate, now: float) -> _ReportRating:
    stats = candidate.stats
    report = stats.report
    if report is None or now - stats.reported_at > _REPORT_LIFETIME_SECONDS:
        return _ReportRating.UNKNOWN
    running = report.total + stats.sent_since(stats.reported_at)
    is_full = running >= best_concurrency(report.slots)
    if is_full or report.slowness > _SLOW_ABOVE_SLOWNESS:
        return _ReportRating.BAD
    return _ReportRating.GOOD


def _unavailability_rank(stats: ServerStats, now: float) -> int:
    is_ejected = stats.ejected_until > now
    return is_ejected * 2 + (stats.unanswered >= _UNRESPONSIVE_AFTER_PROBES)


@dataclass(slots=True)
class ProbeBudget:
    """
    A token bucket for the probes that one VM sends, one token per probe.

    The fleet's limit on probes is a mean over a long time, so tokens that are
    not used in quiet times are kept for busy ones, up to 6 seconds' worth.

    >>> budget = ProbeBudget(updated_at=0)
    >>> budget.refill(10, 0.1), budget.take(2), budget.take(2)
    (None, False, False)
    >>> budget.refill(10, 1.0), budget.take(10)
    (None, True)
    """

    updated_at: float
    tokens: float = 0
    per_second: float = 0

    def refill(self, per_second: float, now: float) -> None:
        """Add the tokens since the last refill, given tokens per second."""
        added = (now - self.updated_at) * per_second
        self.tokens = min(per_second * _BURST_SECONDS, self.tokens + added)
        self.updated_at = now
        self.per_second = per_second

    def take(self, count: int) -> bool:
        """Take ``count`` tokens; return whether there were enough."""
        if not self.has(count):
            return False
        self.tokens -= count
        return True

    def has(self, count: int) -> bool:
        """Return whether ``count`` probes may be sent."""
        return self.tokens >= count

    def refill_seconds(self) -> float:
        """Return how long refilling the remaining tokens would take."""
        return self.tokens / self.per_second if self.per_second else 0


@dataclass(slots=True)
class ProbeBudgets:
    """
    One VM's probe budgets, one for each pool and one over all pools.

    The fleet's limit is a mean over all servers. A busy pool may use the probes
    that quiet pools leave, up to twice the share of its own servers. A process
    starts with the tokens of some time before its start, when it sent no
    probes.
    """

    started_at: float
    pools: dict[str, ProbeBudget] = field(default_factory=dict)
    overall: ProbeBudget = field(init=False)

    def __post_init__(self) -> None:
        """Begin the budgets before the start of the process."""
        self.started_at -= _INITIAL_TOKENS_SECONDS
        self.overall = ProbeBudget(self.started_at)

    def refill(
        self, per_server: float, sizes: Mapping[str, int], now: float
    ) -> None:
        """Refill all budgets, given the probes per second per server."""
        self.overall.refill(per_server * sum(sizes.values()), now)
        for pool, servers in sizes.items():
            budget = self.pools.setdefault(pool, ProbeBudget(self.started_at))
            budget.refill(per_server * servers * _POOL_SHARE_FACTOR, now)

    def take(self, pool: str, count: int, reserve: int = 0) -> bool:
        """
        Take ``count`` probes to a pool; return whether there were enough.

        ``reserve`` tokens of the overall budget are left for more urgent
        probes.
        """
        budget = self.pools.get(pool)
        if budget is None or not self.overall.has(count + reserve):
            return False
        return budget.take(count) and self.overall.take(count)

    def probe_effort(self, pool: str) -> ProbeEffort:
        """Return how many servers of a pool a request may probe now."""
        budget = self.pools.get(pool)
        if budget is None:
            return ProbeEffort.MINIMAL
        seconds = min(budget.refill_seconds(), self.overall.refill_seconds())
        if seconds < _SCARCE_BUDGET_SECONDS:
            return ProbeEffort.MINIMAL
        return (
            ProbeEffort.FIRST_ROUND
            if seconds < _AMPLE_BUDGET_SECONDS
            else ProbeEffort.ALL_ROUNDS
        )
