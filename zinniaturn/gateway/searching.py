"""Searches for servers with free slots by rounds of probes within a budget."""

__all__ = ('ServerSearch', 'offer_if_free')

import asyncio
from collections.abc import Callable, Iterable, Sequence
from itertools import chain

from zinniaturn.admission.admission import Withholding
from zinniaturn.choosing.reports import LoadReport
from zinniaturn.fleet.tables import FleetPool
from zinniaturn.gateway.local_search import LocalSearch
from zinniaturn.gateway.permit_search import PermitSearch
from zinniaturn.gateway.prober import Prober, ProbeResult
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.backend import BackendConnection
from zinniaturn.placing.candidates import (
    Candidate,
    cold_candidates,
    had_room_recently,
)
from zinniaturn.placing.latency_estimates import best_concurrency
from zinniaturn.placing.probe_budget import ProbeBudgets
from zinniaturn.placing.probe_order import ProbeEffort, ProbeOrder, ProbePlan
from zinniaturn.placing.request_queue import Offer
from zinniaturn.placing.unprobed import is_mostly_full, unprobed_servers

_PROBE_BUDGET_SHARE = 0.9
_ROUNDS_PER_POLL = 2
# A notice of another VM that has not been renewed for this time is checked.
_OTHERS_CHECK_AGE_SECONDS = 8.0
# Probes count for no server's limit.
_PROBED_ANYWAY = (None, Withholding.LIMIT)

OfferPredicate = Callable[[Offer], bool]


class ServerSearch:
    """Finds servers with a free slot for a request."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.prober = Prober(
            state.connections, state.wire_format, state.learn, state.reach.own
        )
        self.probe_order = ProbeOrder(
            state.random_source,
            state.settings.name,
            state.settings.data_center,
        )
        self.budgets = ProbeBudgets(state.started_at)
        self.permits = PermitSearch(state)
        self.local = LocalSearch(state)

    def candidates(self, pool: FleetPool) -> list[Candidate]:
        """Return the servers of a pool that accept new requests."""
        return self.permits.survey(pool).usable

    def probe_order_for(self, context: RequestContext) -> list[Candidate]:
        """
        Return the servers to probe for a request, in order.

        These are the servers that were not tried yet, or all of them again
        once every server was tried.
        """
        candidates = self.candidates(context.pool)
        untried = [
            candidate
            for candidate in candidates
            if candidate.name not in context.tried_servers
        ]
        if not untried:
            context.tried_servers.clear()
        return self._order(context.pool, untried or candidates, context)

    def _order(
        self,
        pool: FleetPool,
        candidates: list[Candidate],
        context: RequestContext | None = None,
    ) -> list[Candidate]:
        """Return the servers to probe at the VM's present request rate."""
        rate = self.state.own_request_rate()
        self.probe_order.plan = ProbePlan.for_rate(rate)
        now = asyncio.get_running_loop().time()
        probes = self.probe_order.plan.round_sizes[0]
        start = self.local.start(pool.name, probes, now, context)
        if context is not None and start is not None:
            self.local.note_order(context, candidates)
        order = self.probe_order.order(candidates, now, start)
        if start is not None:
            candidates = list(filter(self.probe_order.is_own, candidates))
        cold = cold_candidates(candidates, now)
        return [*cold, *(one for one in order if one not in cold)]

    async def probe_rounds(
        self,
        context: RequestContext,
        order: list[Candidate],
        probe_effort: ProbeEffort,
        is_good: OfferPredicate,
    ) -> list[Offer]:
        """Probe in rounds until one finds a good server."""
        offers: list[Offer] = []
        rounds = self.probe_order.rounds(order, probe_effort)
        if self.state.locality.pool(context.pool.name).is_active:
            rounds = self.probe_order.with_other_side(rounds, order)
        for group in rounds:
            if not self._take_probes(context.pool, len(group)):
                break
            context.probe_count += len(group)
            offers.extend(await self._probe_group(group, context.pool, offers))
            if any(is_good(offer) for offer in offers):
                break
        return offers

    async def poll_candidates(
        self, pool: FleetPool, reserve: int
    ) -> list[Offer] | None:
        """
        Probe on behalf of all queued requests.

        Returns ``None`` if the budget has too few probes. ``reserve`` probes
        are left in the budget for new requests.
        """
        survey = self.permits.survey(pool)
        self.permits.request_ahead(survey)
        order = self._order(pool, survey.usable)
        rounds = self.probe_order.rounds(order, self.probe_effort(pool))
        group = list(chain(*rounds[:_ROUNDS_PER_POLL]))
        if not self._take_probes(pool, len(group), reserve):
            return None
        return self._offers(await self._probe(group, pool))

    def recent_offers(self, order: list[Candidate]) -> list[Offer]:
        """Return offers from recent load reports, without probing."""
        now = asyncio.get_running_loop().time()
        recently_free = (
            candidate
            for candidate in order
            if had_room_recently(candidate, now)
        )
        offers = (
            offer_if_free(candidate, candidate.stats.report, None)
            for candidate in recently_free
            if candidate.stats.report is not None
        )
        return [offer for offer in offers if offer is not None]

    def unprobed_offers(
        self, pool: FleetPool, order: list[Candidate]
    ) -> list[Offer]:
        """Return offers of servers that are free as far as this VM knows."""
        now = asyncio.get_running_loop().time()
        if is_mostly_full(self.candidates(pool), now):
            return []
        return [
            Offer(
                candidate,
                LoadReport(0, 0, candidate.registered.server.slots),
            )
            for candidate in unprobed_servers(order, now)
        ]

    def probe_effort(self, pool: FleetPool) -> ProbeEffort:
        """Return how many probes the budget allows a request at present."""
        self._refill_budgets()
        return self.budgets.probe_effort(pool.name)

    def probe_leaving(self) -> None:
        """
        Probe the servers that said they leave.

        They get no requests, so that only a probe shows whether one of them
        stays after all. The VM that heard it last probes once in a few seconds,
        and the others do when they have heard nothing of it for longer.
        """
        now = self.state.admissions.clock.monotonic()
        for name, admission in self.state.admissions.active.items():
            notice = admission.notice
            age = now - notice.said_at
            is_of_others = notice.source and age < _OTHERS_CHECK_AGE_SECONDS
            if not notice.is_leaving or is_of_others:
                continue
            if admission.checks.admit(now):
                self._probe_once(name)

    def _probe_once(self, name: str) -> None:
        registered = self.state.fleet_state.servers.get(name)
        tables = self.state.fleet_state.tables
        if registered is None or tables is None:
            return
        pool = tables.pools.get(registered.pool)
        candidate = self.state.pools[registered.pool][name]
        if pool is None or candidate.stats.is_replaced:
            return
        self.prober.probe_in_background(candidate, pool.health_path)

    def probe_any(self, pool: str) -> None:
        """Probe some server of a pool, if the budget allows it."""
        candidates = [
            candidate
            for candidate in self.state.pools.get(pool, {}).values()
            if not candidate.registered.server.leaving
            and candidate.admission.withholding() in _PROBED_ANYWAY
        ]
        self._refill_budgets()
        if candidates and self.budgets.take(pool, 1):
            self._probe_once(self.state.random_source.choice(candidates).name)

    def refresh_connections(self, pool: str) -> None:
        """Keep a pool's idle connections alive while it takes no new ones."""
        tables = self.state.fleet_state.tables
        known = None if tables is None else tables.pools.get(pool)
        if known is None:
            return
        self._refill_budgets()
        for candidate in self.state.pools.get(pool, {}).values():
            is_left = candidate.registered.server.leaving
            is_left = is_left or candidate.admission.is_evacuated
            if is_left or not self.budgets.take(pool, 1):
                continue
            if not self.prober.refresh(candidate, known.health_path):
                self.budgets.give_back(pool, 1)

    def release(self, offer: Offer) -> None:
        """Return the connection of an unused offer to the pool."""
        if offer.connection is not None:
            address = offer.candidate.address
            self.state.connections.keep_idle(address, offer.connection)

    async def _probe_group(
        self,
        group: Sequence[Candidate],
        pool: FleetPool,
        held_offers: list[Offer],
    ) -> list[Offer]:
        """Probe a group of servers; if cancelled, release the held offers."""
        try:
            return self._offers(await self._probe(group, pool))
        except asyncio.CancelledError:
            for offer in held_offers:
                self.release(offer)
            raise

    async def _probe(
        self, group: Sequence[Candidate], pool: FleetPool
    ) -> list[ProbeResult]:
        """Probe a group of servers and note what it says of data centres."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        results = await self.prober.probe(group, pool.health_path)
        now = loop.time()
        self.local.note_round(pool.name, group, results, now - began_at, now)
        return results

    def _offers(self, results: Iterable[ProbeResult]) -> list[Offer]:
        """Return offers for free servers and release the other connections."""
        offers = []
        for result in results:
            offer = offer_if_free(
                result.candidate,
                result.report,
                result.connection,
                result.is_healthy,
            )
            if offer is None:
                self.prober.release(result)
            else:
                offers.append(offer)
        return offers

    def _take_probes(
        self, pool: FleetPool, probe_count: int, reserve: int = 0
    ) -> bool:
        """Take probes from the budget; return whether it had enough."""
        return probe_count > 0 and self.budgets.take(
            pool.name, probe_count, reserve
        )

    def _refill_budgets(self) -> None:
        state = self.state
        limit = state.settings.bounds.probes_per_second * _PROBE_BUDGET_SHARE
        sizes = {
            name: len(candidates) for name, candidates in state.pools.items()
        }
        now = asyncio.get_running_loop().time()
        self.budgets.refill(limit * state.probe_share(), sizes, now)


def offer_if_free(
    candidate: Candidate,
    report: LoadReport,
    connection: BackendConnection | None,
    is_healthy: bool = True,
) -> Offer | None:
    """Return an offer for a server if it has a free slot."""
    stats = candidate.stats
    running = report.total + stats.sent_since_report
    limit = best_concurrency(report.slots)
    if running >= limit:
        return None
    is_last_slot = limit > 1 and running + 1 == limit
    return Offer(candidate, report, connection, is_healthy, is_last_slot)
