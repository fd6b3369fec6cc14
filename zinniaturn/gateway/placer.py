"""
Finding the server for a request: asking a few and taking the best.

A request for which none is good enough waits in its pool's queue. The queue is
fed by answers, which say that a slot has become free, and by further
probes.
"""

__all__ = ('Placer',)

import asyncio
from collections.abc import Iterable

from zinniaturn.choosing.exceptions import RefusedError
from zinniaturn.choosing.reports import LoadReport
from zinniaturn.fleet.tables import FleetPool
from zinniaturn.gateway.jobs import Job, Placement
from zinniaturn.gateway.prober import ProbeAnswer, Prober
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.backend import BackendConnection
from zinniaturn.placing.expecting import WorkEstimates, expected_seconds
from zinniaturn.placing.probing import Candidate, ProbeBudgets, ProbeOrder
from zinniaturn.placing.request_queue import (
    Offer,
    RequestQueue,
    Waiting,
    best_concurrency,
)
from zinniaturn.placing.returning import ReturnTimes

_UNHEALTHY_FACTOR = 3.0
_GOOD_FACTOR = 1.4
_USUAL_WORK = 0.1
_POLL_SECONDS = 0.03
_PROBE_SAFETY = 0.9
_SPARE_ROUNDS = 4


class Placer:
    """Places requests; it keeps the estimates that this needs."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.prober = Prober(state.connections, state.dialect)
        self.probe_order = ProbeOrder(
            state.source,
            state.settings.name,
            state.settings.data_center,
        )
        self.work = WorkEstimates()
        self.returns = ReturnTimes(state.source)
        self.queues: dict[str, RequestQueue] = {}
        self.budgets = ProbeBudgets(state.started_at)
        self.polls: dict[str, asyncio.Task[None]] = {}

    async def place(self, job: Job) -> Placement:
        """Return the best server; raises `RefusedError`."""
        loop = asyncio.get_running_loop()
        work = self.work.work_seconds(
            job.route.name,
            job.route.objective_seconds,
        )
        if not self.candidates(job.pool):
            raise self._refusal(work, 'no server is known')
        ended = loop.create_future()
        queue = self.queue(job.pool.name)
        waiting = Waiting(
            work,
            job.arrived_at,
            job.objective_at,
            job.deadline,
            job.route.priority,
            lambda offer: self._expect(work, offer, loop.time()),
            lambda: _finish(ended),
            job.tried,
        )
        queue.join(waiting)
        try:
            await self._find(job, queue, waiting)
            if waiting.granted is None and waiting.refused_seconds is None:
                self._poll(job.pool)
                await ended
        except asyncio.CancelledError:
            queue.leave(waiting)
            if waiting.granted is not None:
                self._return(waiting.granted)
            raise
        if waiting.granted is None:
            raise self._refusal(
                waiting.refused_seconds or work,
                'no server is free in time',
            )
        placement = _placement(waiting, waiting.granted)
        placement.is_estimate_settled = self.work.is_settled(job.route.name)
        return placement

    def candidates(self, pool: FleetPool) -> list[Candidate]:
        """Return the servers of a pool that may get new requests."""
        return [
            candidate
            for candidate in self.state.pools.get(pool.name, {}).values()
            if not candidate.registered.server.leaving
            and not candidate.memory.is_replaced
        ]

    def queue(self, pool: str) -> RequestQueue:
        """Return the queue of a pool."""
        return self.queues.setdefault(pool, RequestQueue())

    def offer_freed(
        self,
        pool: str,
        placement: Placement,
        connection: BackendConnection,
        now: float,
    ) -> bool:
        """Offer the slot that an answer has freed; return if it was taken."""
        queue = self.queues.get(pool)
        report = placement.candidate.memory.report
        candidate = placement.candidate
        if queue is None or not queue.waiting or report is None:
            return False
        if candidate.registered.server.leaving or not connection.is_usable(now):
            return False
        offer = _offer(candidate, report, connection)
        return offer is not None and queue.match(offer, now)

    async def _find(
        self, job: Job, queue: RequestQueue, waiting: Waiting
    ) -> None:
        """Probe servers until the request has one or all were probed."""
        loop = asyncio.get_running_loop()
        every = self.candidates(job.pool)
        untried = [each for each in every if each.name not in job.tried]
        if not untried:
            job.tried.clear()
        order = self.probe_order.order(untried or every, loop.time())
        first = order[: self.probe_order.first]
        if self._may_probe(job.pool, len(first)):
            job.probed += len(first)
            answers = await self.prober.probe(first, job.pool.health_path)
            offers = self._offers(answers)
            rest = order[self.probe_order.first :]
            if not self._has_good(offers, waiting) and self._may_probe(
                job.pool, len(rest)
            ):
                job.probed += len(rest)
                offers.extend(await self._probe_more(rest, job.pool, offers))
            self._settle(queue, offers)
        if waiting.granted is not None:
            return
        if not any(each.memory.unanswered == 0 for each in order):
            self._settle_blind(queue, order)

    async def _probe_more(
        self,
        group: list[Candidate],
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
                self._return(offer)
            raise

    def _offers(self, answers: Iterable[ProbeAnswer]) -> list[Offer]:
        """Return the servers with room; keep the others' connections."""
        offers = []
        for each in answers:
            offer = _offer(
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

    def _has_good(self, offers: list[Offer], waiting: Waiting) -> bool:
        """Return whether a server is about as quick as an idle one."""
        good = waiting.work * _GOOD_FACTOR
        return any(waiting.expect(offer) <= good for offer in offers)

    def _settle(self, queue: RequestQueue, offers: list[Offer]) -> None:
        """Offer servers, the quickest first."""
        now = asyncio.get_running_loop().time()
        offers.sort(key=lambda offer: self._expect(_USUAL_WORK, offer, now))
        for offer in offers:
            if not queue.match(offer, now):
                self._return(offer)

    def _settle_blind(
        self, queue: RequestQueue, order: list[Candidate]
    ) -> None:
        """Offer the server with the least of our own where none answered."""
        now = asyncio.get_running_loop().time()
        candidate = min(order, key=lambda each: each.memory.in_flight)
        slots = candidate.registered.server.slots
        report = LoadReport(candidate.memory.in_flight, 0, slots)
        queue.match(Offer(candidate, report), now)

    def _expect(self, work: float, offer: Offer, now: float) -> float:
        memory = offer.candidate.memory
        expected = expected_seconds(work, offer.report, memory, now)
        if memory.out_until > now or not offer.is_healthy:
            expected *= _UNHEALTHY_FACTOR
        return expected

    def _poll(self, pool: FleetPool) -> None:
        """Keep probing while requests wait."""
        if pool.name not in self.polls:
            task = asyncio.ensure_future(self._keep_probing(pool))
            self.polls[pool.name] = task
            task.add_done_callback(lambda ended: self._end_poll(pool, ended))

    def _end_poll(self, pool: FleetPool, task: 'asyncio.Task[None]') -> None:
        self.polls.pop(pool.name)
        if not task.cancelled() and task.exception() is not None:
            self.state.note_fault('probing', task.exception())
            if self.queue(pool.name).waiting:
                self._poll(pool)

    async def _keep_probing(self, pool: FleetPool) -> None:
        queue = self.queue(pool.name)
        loop = asyncio.get_running_loop()
        while queue.waiting:
            await asyncio.sleep(
                self.state.source.uniform(0.6, 1.4) * _POLL_SECONDS,
            )
            queue.refuse_hopeless(loop.time())
            candidates = self.candidates(pool)
            order = self.probe_order.order(candidates, loop.time())
            group = order[: self.probe_order.first]
            spare = self.probe_order.first * _SPARE_ROUNDS
            if queue.waiting and self._may_probe(pool, len(group), spare):
                answers = await self.prober.probe(group, pool.health_path)
                self._settle(queue, self._offers(answers))
                queue.note_round()

    def _may_probe(self, pool: FleetPool, count: int, spare: int = 0) -> bool:
        """Take probes from the budget; return whether there were any."""
        state = self.state
        allowed = state.settings.bounds.probes_per_second * _PROBE_SAFETY
        sizes = {name: len(each) for name, each in state.pools.items()}
        now = asyncio.get_running_loop().time()
        self.budgets.refill(allowed / state.vms.most(), sizes, now)
        return count > 0 and self.budgets.take(pool.name, count, spare)

    def _return(self, offer: Offer) -> None:
        if offer.connection is not None:
            address = offer.candidate.address
            self.state.connections.keep(address, offer.connection)

    def _refusal(self, seconds: float, detail: str) -> RefusedError:
        return RefusedError(detail, 'no-server', self.returns.seconds(seconds))


def _placement(waiting: Waiting, offer: Offer) -> Placement:
    return Placement(
        offer.candidate,
        offer.connection,
        waiting.work,
        waiting.expected,
        offer.report,
    )


def _offer(
    candidate: Candidate,
    report: LoadReport,
    connection: BackendConnection,
    is_healthy: bool = True,
) -> Offer | None:
    """Return a server as an offer if it has room."""
    memory = candidate.memory
    running = report.total + memory.sent_since(memory.reported_at)
    best = best_concurrency(report.slots)
    if running >= best:
        return None
    is_last = best > 1 and running + 1 == best
    return Offer(candidate, report, connection, is_healthy, is_last)


def _finish(ended: 'asyncio.Future[None]') -> None:
    if not ended.done():
        ended.set_result(None)
