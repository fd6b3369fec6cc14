"""
Finding the server for a request: asking a few and taking the best.

A request for which none is good enough waits in its pool's queue. The queue is
fed by answers, which say that a slot has become free, and by further
probes.
"""

__all__ = ('RequestScheduler',)

import asyncio

from zinniaturn.choosing.exceptions import RefusedError
from zinniaturn.choosing.reports import LoadReport
from zinniaturn.fleet.tables import FleetPool
from zinniaturn.gateway.request_context import Placement, RequestContext
from zinniaturn.gateway.searching import ServerSearch, offer_if_free
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.backend import BackendConnection
from zinniaturn.placing.latency_estimates import (
    ServiceTimeEstimates,
    expected_seconds,
)
from zinniaturn.placing.probing import Candidate, ProbeEffort
from zinniaturn.placing.request_queue import Offer, QueuedRequest, RequestQueue
from zinniaturn.placing.retry_after import RetryAfterJitter

_UNHEALTHY_PENALTY_FACTOR = 3.0
_GOOD_ENOUGH_FACTOR = 1.4
_RANKING_WORK_SECONDS = 0.1
_POLL_INTERVAL_SECONDS = 0.03
_RESERVED_PROBES = 6
_RESERVED_PROBES_WHEN_ALL_LATE = 15


class RequestScheduler:
    """Places requests; it keeps the estimates that this needs."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.search = ServerSearch(state)
        self.work = ServiceTimeEstimates()
        self.retry_delays = RetryAfterJitter(state.random_source)
        self.queues: dict[str, RequestQueue] = {}
        self.poll_tasks: dict[str, asyncio.Task[None]] = {}

    async def place(self, context: RequestContext) -> Placement:
        """Return the best server; raises `RefusedError`."""
        loop = asyncio.get_running_loop()
        work = self.work.service_seconds(
            context.route.name,
            context.route.objective_seconds,
        )
        if not self.search.candidates(context.pool):
            raise self._rejection(work, 'no server is known')
        placement_done = loop.create_future()
        queue = self.queue(context.pool.name)
        waiting = QueuedRequest(
            work,
            context.arrived_at,
            context.objective_at,
            context.deadline,
            context.route.priority,
            lambda offer: self._expected_seconds(work, offer, loop.time()),
            lambda: _resolve(placement_done),
            context.tried_servers,
        )
        queue.add(waiting)
        try:
            await self._probe_for(context, queue, waiting)
            if waiting.granted is None and waiting.retry_after_seconds is None:
                queue.note_unmatched(waiting, loop.time())
                self._start_polling(context.pool)
                await placement_done
        except asyncio.CancelledError:
            queue.remove(waiting)
            if waiting.granted is not None:
                self.search.release(waiting.granted)
            raise
        if waiting.granted is None:
            raise self._rejection(
                waiting.retry_after_seconds or work,
                'no server is free in time',
            )
        placement = _placement(waiting, waiting.granted)
        placement.is_estimate_settled = self.work.is_settled(context.route.name)
        return placement

    def queue(self, pool: str) -> RequestQueue:
        """Return the queue of a pool."""
        return self.queues.setdefault(pool, RequestQueue())

    def offer_freed_slot(
        self,
        pool: str,
        placement: Placement,
        connection: BackendConnection,
        now: float,
    ) -> bool:
        """Offer the slot that an answer has freed; return if it was taken."""
        queue = self.queues.get(pool)
        report = placement.candidate.stats.report
        candidate = placement.candidate
        if queue is None or not queue.waiting or report is None:
            return False
        if candidate.registered.server.leaving or not connection.is_usable(now):
            return False
        offer = offer_if_free(candidate, report, connection)
        return offer is not None and queue.match(offer, now)

    async def _probe_for(
        self,
        context: RequestContext,
        queue: RequestQueue,
        waiting: QueuedRequest,
    ) -> None:
        """Probe servers until the request has one or all were probed."""
        order = self.search.probe_order_for(context)
        good = waiting.service_seconds * _GOOD_ENOUGH_FACTOR
        offers = await self.search.probe_rounds(
            context,
            order,
            self._probe_effort(context.pool, queue, waiting),
            lambda offer: waiting.expect(offer) <= good,
        )
        self._match_offers(queue, offers)
        if waiting.granted is not None:
            return
        if (
            not offers
            and self.search.probe_effort(context.pool) is ProbeEffort.MINIMAL
        ):
            self._match_offers(queue, self.search.recent_offers(order))
        if not any(candidate.stats.unanswered == 0 for candidate in order):
            self._offer_least_loaded(queue, order)

    def _probe_effort(
        self,
        pool: FleetPool,
        queue: RequestQueue,
        waiting: QueuedRequest,
    ) -> ProbeEffort:
        now = asyncio.get_running_loop().time()
        if waiting.is_late(now) and queue.contention.is_contended(now):
            return ProbeEffort.NO_PROBES
        probe_effort = self.search.probe_effort(pool)
        is_alone = len(queue.waiting) == 1
        return (
            ProbeEffort.ALL_ROUNDS
            if probe_effort is ProbeEffort.FIRST_ROUND and is_alone
            else probe_effort
        )

    def _match_offers(self, queue: RequestQueue, offers: list[Offer]) -> None:
        """Offer servers, the quickest first."""
        now = asyncio.get_running_loop().time()
        offers.sort(
            key=lambda offer: self._expected_seconds(
                _RANKING_WORK_SECONDS, offer, now
            )
        )
        for offer in offers:
            if not queue.match(offer, now):
                self.search.release(offer)

    def _offer_least_loaded(
        self, queue: RequestQueue, order: list[Candidate]
    ) -> None:
        """Offer the server with the least of our own where none answered."""
        now = asyncio.get_running_loop().time()
        candidate = min(order, key=lambda candidate: candidate.stats.in_flight)
        slots = candidate.registered.server.slots
        report = LoadReport(candidate.stats.in_flight, 0, slots)
        queue.match(Offer(candidate, report), now)

    def _expected_seconds(self, work: float, offer: Offer, now: float) -> float:
        stats = offer.candidate.stats
        expected = expected_seconds(work, offer.report, stats, now)
        if stats.ejected_until > now or not offer.is_healthy:
            expected *= _UNHEALTHY_PENALTY_FACTOR
        return expected

    def _start_polling(self, pool: FleetPool) -> None:
        """Keep probing while requests wait."""
        if pool.name not in self.poll_tasks:
            task = asyncio.ensure_future(self._poll_while_waiting(pool))
            self.poll_tasks[pool.name] = task
            task.add_done_callback(
                lambda finished: self._on_polling_ended(pool, finished),
            )

    def _on_polling_ended(
        self, pool: FleetPool, task: 'asyncio.Task[None]'
    ) -> None:
        self.poll_tasks.pop(pool.name)
        if not task.cancelled() and task.exception() is not None:
            self.state.log_fault('probing', task.exception())
            if self.queue(pool.name).waiting:
                self._start_polling(pool)

    async def _poll_while_waiting(self, pool: FleetPool) -> None:
        queue = self.queue(pool.name)
        loop = asyncio.get_running_loop()
        while queue.waiting:
            await asyncio.sleep(
                self.state.random_source.uniform(0.6, 1.4)
                * _POLL_INTERVAL_SECONDS,
            )
            queue.reject_unservable(loop.time())
            if queue.waiting:
                reserve = self._reserved_probes(queue)
                offers = await self.search.poll_candidates(pool, reserve)
                if offers is not None:
                    self._match_offers(queue, offers)
                    queue.note_offer_round(loop.time())

    def _reserved_probes(self, queue: RequestQueue) -> int:
        """Return how many probes to leave for requests to come."""
        now = asyncio.get_running_loop().time()
        return (
            _RESERVED_PROBES
            if queue.has_request_in_time(now)
            else _RESERVED_PROBES_WHEN_ALL_LATE
        )

    def _rejection(self, seconds: float, detail: str) -> RefusedError:
        return RefusedError(
            detail, 'no-server', self.retry_delays.seconds(seconds)
        )


def _placement(waiting: QueuedRequest, offer: Offer) -> Placement:
    return Placement(
        offer.candidate,
        offer.connection,
        waiting.service_seconds,
        waiting.expected,
        offer.report,
    )


def _resolve(placement_done: 'asyncio.Future[None]') -> None:
    if not placement_done.done():
        placement_done.set_result(None)
