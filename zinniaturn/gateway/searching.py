"""Looking for servers with room: probes in rounds, within their budget."""

__all__ = ('ServerSearch', 'offer_of')

import asyncio
from collections.abc import Callable, Iterable, Sequence
from itertools import chain

from zinniaturn.choosing.reports import LoadReport
from zinniaturn.fleet.tables import FleetPool
from zinniaturn.gateway.jobs import Job
from zinniaturn.gateway.prober import ProbeAnswer, Prober
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.backend import BackendConnection
from zinniaturn.placing.latency_estimates import best_concurrency
from zinniaturn.placing.probing import (
    Candidate,
    ProbeBudgets,
    ProbeEffort,
    ProbeOrder,
    had_room_recently,
)
from zinniaturn.placing.request_queue import Offer

_PROBE_SAFETY = 0.9
_POLL_ROUNDS = 2

Judge = Callable[[Offer], bool]


class ServerSearch:
    """Finds servers that have room for a request."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.prober = Prober(state.connections, state.dialect)
        self.probe_order = ProbeOrder(
            state.source,
            state.settings.name,
            state.settings.data_center,
        )
        self.budgets = ProbeBudgets(state.started_at)

    def candidates(self, pool: FleetPool) -> list[Candidate]:
        """Return the servers of a pool that may get new requests."""
        return [
            candidate
            for candidate in self.state.pools.get(pool.name, {}).values()
            if not candidate.registered.server.leaving
            and not candidate.stats.is_replaced
        ]

    def order_for(self, job: Job) -> list[Candidate]:
        """Return the servers to probe: the untried, or all once more."""
        every = self.candidates(job.pool)
        untried = [each for each in every if each.name not in job.tried]
        if not untried:
            job.tried.clear()
        now = asyncio.get_running_loop().time()
        return self.probe_order.order(untried or every, now)

    async def probe_rounds(
        self,
        job: Job,
        order: list[Candidate],
        probe_effort: ProbeEffort,
        is_good: Judge,
    ) -> list[Offer]:
        """Probe in rounds until one brings a good server."""
        offers: list[Offer] = []
        for group in self.probe_order.rounds(order, probe_effort):
            if not self._may_probe(job.pool, len(group)):
                break
            job.probed += len(group)
            offers.extend(await self._probe_more(group, job.pool, offers))
            if any(is_good(offer) for offer in offers):
                break
        return offers

    async def probe_some(
        self, pool: FleetPool, reserve: int
    ) -> list[Offer] | None:
        """
        Probe for all that wait; ``None`` where the budget forbids it.

        ``spare`` probes are left for requests that are about to come.
        """
        now = asyncio.get_running_loop().time()
        order = self.probe_order.order(self.candidates(pool), now)
        rounds = self.probe_order.rounds(order, self.probe_effort(pool))
        group = list(chain(*rounds[:_POLL_ROUNDS]))
        if not self._may_probe(pool, len(group), reserve):
            return None
        return self._offers(await self.prober.probe(group, pool.health_path))

    def remembered(self, order: list[Candidate]) -> list[Offer]:
        """Return servers that had room a moment ago, as they were then."""
        now = asyncio.get_running_loop().time()
        promising = (each for each in order if had_room_recently(each, now))
        offers = (
            offer_of(each, each.stats.report, None)
            for each in promising
            if each.stats.report is not None
        )
        return [each for each in offers if each is not None]

    def probe_effort(self, pool: FleetPool) -> ProbeEffort:
        """Return how sparing with probes a request must be, as of now."""
        self._refill_budgets()
        return self.budgets.probe_effort(pool.name)

    def give_back(self, offer: Offer) -> None:
        """Keep the connection of an offer that nobody took."""
        if offer.connection is not None:
            address = offer.candidate.address
            self.state.connections.keep(address, offer.connection)

    async def _probe_more(
        self,
        group: Sequence[Candidate],
        pool: FleetPool,
        held: list[Offer],
    ) -> list[Offer]:
        """Probe further servers while earlier offers are held."""
        try:
            return self._offers(
                await self.prober.probe(group, pool.health_path)
            )
        except asyncio.CancelledError:
            for offer in held:
                self.give_back(offer)
            raise

    def _offers(self, answers: Iterable[ProbeAnswer]) -> list[Offer]:
        """Return the servers with room; keep the others' connections."""
        offers = []
        for each in answers:
            offer = offer_of(
                each.candidate,
                each.report,
                each.connection,
                each.is_healthy,
            )
            if offer is None:
                self.prober.give_back(each)
            else:
                offers.append(offer)
        return offers

    def _may_probe(self, pool: FleetPool, count: int, reserve: int = 0) -> bool:
        """Take probes from the budget; return whether there were any."""
        return count > 0 and self.budgets.take(pool.name, count, reserve)

    def _refill_budgets(self) -> None:
        state = self.state
        allowed = state.settings.bounds.probes_per_second * _PROBE_SAFETY
        sizes = {name: len(each) for name, each in state.pools.items()}
        now = asyncio.get_running_loop().time()
        self.budgets.refill(allowed * state.probe_share(), sizes, now)


def offer_of(
    candidate: Candidate,
    report: LoadReport,
    connection: BackendConnection | None,
    is_healthy: bool = True,
) -> Offer | None:
    """Return a server as an offer if it has room."""
    stats = candidate.stats
    running = report.total + stats.sent_since(stats.reported_at)
    best = best_concurrency(report.slots)
    if running >= best:
        return None
    is_last = best > 1 and running + 1 == best
    return Offer(candidate, report, connection, is_healthy, is_last)
