"""One VM's budgets for the probes that it sends."""

__all__ = ('ProbeBudget', 'ProbeBudgets')

from collections.abc import Mapping
from dataclasses import dataclass, field

from zinniaturn.placing.probe_order import ProbeEffort

# A budget holds at most the tokens of this time.
_BURST_SECONDS = 6.0
# Limits between the probe efforts, in seconds that refilling the tokens takes.
_SCARCE_BUDGET_SECONDS = 0.5
_AMPLE_BUDGET_SECONDS = 2.0
# A pool may use this multiple of its servers' share of the budget.
_POOL_SHARE_FACTOR = 2.0
# A process starts with the tokens of this time.
_INITIAL_TOKENS_SECONDS = 1.5


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

    def give_back(self, pool: str, count: int) -> None:
        """Return probes that were taken and not sent."""
        self.pools[pool].tokens += count
        self.overall.tokens += count

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
