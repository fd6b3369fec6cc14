"""
Whom to probe for its load before a request is sent.

What a VM learns from answers alone is seconds old, since it sees few requests
a second. So it probes a few servers right before it sends, and the others only
where none of those can serve the request soon.
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

_UNANSWERED_OUT = 2
_SAVED_SECONDS = 6.0
_REPORT_HOLDS_SECONDS = 0.25
_SLOW = 1.5
_FEWEST_PROBES = 2
_SCARCE_SECONDS = 0.5
_AMPLE_SECONDS = 2.0
_MOST_OF_SHARE = 2.0
_BEFORE_START_SECONDS = 1.5


@dataclass(slots=True)
class Candidate:
    """A server that a request may go to, and what is remembered of it."""

    registered: RegisteredServer
    stats: ServerStats

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.registered.server.name

    @property
    def address(self) -> Address:
        """Return where the server takes connections."""
        return self.registered.server.host, self.registered.server.port


class ProbeEffort(Enum):
    """
    How sparing a request must be with probes.

    ``NONE`` is for an ample budget, ``SOME`` for a smaller and ``MOST`` for one
    that is nearly spent. ``ALL``, no probes, is for a request that is late
    while others need them.
    """

    ALL_ROUNDS = auto()
    FIRST_ROUND = auto()
    MINIMAL = auto()
    NO_PROBES = auto()


@dataclass(slots=True)
class ProbeOrder:
    """
    Picks servers to probe, in small rounds, until one of them will do.

    Those in good standing come first, of these the ones that had room and were
    quick a moment ago, then the near ones. Near is a part of the servers in the
    VM's own data centre, the same ones each time, so that connections to them
    stay open; beyond that the order is random.
    """

    source: random.Random
    vm: str
    data_center: str
    round_sizes: tuple[int, ...] = (3, 3, 5)
    near: int = 8

    def order(
        self,
        candidates: Sequence[Candidate],
        now: float,
    ) -> list[Candidate]:
        """Return the servers in the order in which to probe them."""
        near = self._near(candidates)
        shuffled = list(candidates)
        self.source.shuffle(shuffled)
        shuffled.sort(
            key=lambda each: (
                _standing(each.stats, now),
                _outlook(each, now),
                each.name not in near,
            ),
        )
        return shuffled[: sum(self.round_sizes)]

    def rounds(
        self,
        order: Sequence[Candidate],
        probe_effort: ProbeEffort,
    ) -> list[Sequence[Candidate]]:
        """Split servers into the rounds that thrift leaves."""
        match probe_effort:
            case ProbeEffort.ALL_ROUNDS:
                sizes = self.round_sizes
            case ProbeEffort.FIRST_ROUND:
                sizes = self.round_sizes[:1]
            case ProbeEffort.MINIMAL:
                sizes = (_FEWEST_PROBES,)
            case ProbeEffort.NO_PROBES:
                sizes = ()
        ends = list(accumulate(sizes))
        starts = [0, *ends]
        spans = zip(starts, ends, strict=False)
        rounds = [order[start:end] for start, end in spans]
        return [each for each in rounds if each]

    def _near(self, candidates: Sequence[Candidate]) -> set[str]:
        own = [
            each.name
            for each in candidates
            if each.registered.server.data_center == self.data_center
        ]
        own.sort(key=lambda name: zlib.crc32(f'{self.vm} {name}'.encode()))
        return set(own[: self.near])


def had_room_recently(candidate: Candidate, now: float) -> bool:
    """Return whether a server was quick and had room a moment ago."""
    return _outlook(candidate, now) is _Outlook.GOOD


class _Outlook(IntEnum):
    """What the last report of a server lets expect, the best first."""

    GOOD = 0
    UNKNOWN = 1
    BAD = 2


def _outlook(candidate: Candidate, now: float) -> _Outlook:
    stats = candidate.stats
    report = stats.report
    if report is None or now - stats.reported_at > _REPORT_HOLDS_SECONDS:
        return _Outlook.UNKNOWN
    running = report.total + stats.sent_since(stats.reported_at)
    is_full = running >= best_concurrency(report.slots)
    if is_full or report.slowness > _SLOW:
        return _Outlook.BAD
    return _Outlook.GOOD


def _standing(stats: ServerStats, now: float) -> int:
    is_out = stats.ejected_until > now
    return is_out * 2 + (stats.unanswered >= _UNANSWERED_OUT)


@dataclass(slots=True)
class ProbeBudget:
    """
    One VM's part of what the fleet may probe a pool's servers.

    The bound is a mean over a long time, so that what quiet times leave over
    may be used in a busy one, up to some seconds' worth.

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
        """Add what has been earned at a rate since the last time."""
        earned = (now - self.updated_at) * per_second
        self.tokens = min(per_second * _SAVED_SECONDS, self.tokens + earned)
        self.updated_at = now
        self.per_second = per_second

    def take(self, count: int) -> bool:
        """Take some probes; return whether there were as many."""
        if not self.has(count):
            return False
        self.tokens -= count
        return True

    def has(self, count: int) -> bool:
        """Return whether so many probes may be sent."""
        return self.tokens >= count

    def refill_seconds(self) -> float:
        """Return how long it took to earn what is left."""
        return self.tokens / self.per_second if self.per_second else 0


@dataclass(slots=True)
class ProbeBudgets:
    """
    One VM's probes to the servers of all pools.

    The fleet's bound is a mean over all servers. A busy pool may use what
    quiet ones leave, up to twice its servers' own share. A process begins with
    what the time before its start would have earned, in which it sent
    nothing.
    """

    started_at: float
    pools: dict[str, ProbeBudget] = field(default_factory=dict)
    overall: ProbeBudget = field(init=False)

    def __post_init__(self) -> None:
        """Count the time before the start."""
        self.started_at -= _BEFORE_START_SECONDS
        self.overall = ProbeBudget(self.started_at)

    def refill(
        self, per_server: float, sizes: Mapping[str, int], now: float
    ) -> None:
        """Add what was earned, given the probes a second to a server."""
        self.overall.refill(per_server * sum(sizes.values()), now)
        for pool, servers in sizes.items():
            budget = self.pools.setdefault(pool, ProbeBudget(self.started_at))
            budget.refill(per_server * servers * _MOST_OF_SHARE, now)

    def take(self, pool: str, count: int, reserve: int = 0) -> bool:
        """
        Take some probes to a pool; return whether there were as many.

        ``spare`` of the whole are left for more urgent ones.
        """
        budget = self.pools.get(pool)
        if budget is None or not self.overall.has(count + reserve):
            return False
        return budget.take(count) and self.overall.take(count)

    def probe_effort(self, pool: str) -> ProbeEffort:
        """Return how sparing with probes to a pool a request must be."""
        budget = self.pools.get(pool)
        if budget is None:
            return ProbeEffort.MINIMAL
        tokens = min(budget.refill_seconds(), self.overall.refill_seconds())
        if tokens < _SCARCE_SECONDS:
            return ProbeEffort.MINIMAL
        return (
            ProbeEffort.FIRST_ROUND
            if tokens < _AMPLE_SECONDS
            else ProbeEffort.ALL_ROUNDS
        )
