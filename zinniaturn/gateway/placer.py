"""
Finding the server for a request: asking a few and taking the best.

A request for which none is good enough waits in its pool's queue. The queue is
fed by answers, which say that a slot has become free, and by further
probes.
"""

__all__ = ('Placer',)

import asyncio

from zinniaturn.choosing.exceptions import RefusedError
from zinniaturn.choosing.reports import LoadReport
from zinniaturn.fleet.tables import FleetPool
from zinniaturn.gateway.jobs import Job, Placement
from zinniaturn.gateway.searching import ServerSearch, offer_of
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.backend import BackendConnection
from zinniaturn.placing.latency_estimates import (
    ServiceTimeEstimates,
    expected_seconds,
)
from zinniaturn.placing.probing import Candidate, ProbeEffort
from zinniaturn.placing.request_queue import Offer, QueuedRequest, RequestQueue
from zinniaturn.placing.retry_after import RetryAfterJitter

_UNHEALTHY_FACTOR = 3.0
_GOOD_FACTOR = 1.4
_USUAL_WORK = 0.1
_POLL_SECONDS = 0.03
_SPARE_PROBES = 6
_LATE_SPARE_PROBES = 15


class Placer:
    """Places requests; it keeps the estimates that this needs."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.search = ServerSearch(state)
        self.work = ServiceTimeEstimates()
        self.returns = RetryAfterJitter(state.source)
        self.queues: dict[str, RequestQueue] = {}
        self.polls: dict[str, asyncio.Task[None]] = {}

    async def place(self, job: Job) -> Placement:
        """Return the best server; raises `RefusedError`."""
        loop = asyncio.get_running_loop()
        work = self.work.service_seconds(
            job.route.name,
            job.route.objective_seconds,
        )
        if not self.search.candidates(job.pool):
            raise self._refusal(work, 'no server is known')
        ended = loop.create_future()
        queue = self.queue(job.pool.name)
        waiting = QueuedRequest(
            work,
            job.arrived_at,
            job.objective_at,
            job.deadline,
            job.route.priority,
            lambda offer: self._expect(work, offer, loop.time()),
            lambda: _finish(ended),
            job.tried,
        )
        queue.add(waiting)
        try:
            await self._find(job, queue, waiting)
            if waiting.granted is None and waiting.retry_after_seconds is None:
                queue.note_unmatched(waiting, loop.time())
                self._poll(job.pool)
                await ended
        except asyncio.CancelledError:
            queue.remove(waiting)
            if waiting.granted is not None:
                self.search.give_back(waiting.granted)
            raise
        if waiting.granted is None:
            raise self._refusal(
                waiting.retry_after_seconds or work,
                'no server is free in time',
            )
        placement = _placement(waiting, waiting.granted)
        placement.is_estimate_settled = self.work.is_settled(job.route.name)
        return placement

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
        report = placement.candidate.stats.report
        candidate = placement.candidate
        if queue is None or not queue.waiting or report is None:
            return False
        if candidate.registered.server.leaving or not connection.is_usable(now):
            return False
        offer = offer_of(candidate, report, connection)
        return offer is not None and queue.match(offer, now)

    async def _find(
        self, job: Job, queue: RequestQueue, waiting: QueuedRequest
    ) -> None:
        """Probe servers until the request has one or all were probed."""
        order = self.search.order_for(job)
        good = waiting.service_seconds * _GOOD_FACTOR
        offers = await self.search.probe_rounds(
            job,
            order,
            self._probe_effort(job.pool, queue, waiting),
            lambda offer: waiting.expect(offer) <= good,
        )
        self._settle(queue, offers)
        if waiting.granted is not None:
            return
        if (
            not offers
            and self.search.probe_effort(job.pool) is ProbeEffort.MINIMAL
        ):
            self._settle(queue, self.search.remembered(order))
        if not any(each.stats.unanswered == 0 for each in order):
            self._settle_blind(queue, order)

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

    def _settle(self, queue: RequestQueue, offers: list[Offer]) -> None:
        """Offer servers, the quickest first."""
        now = asyncio.get_running_loop().time()
        offers.sort(key=lambda offer: self._expect(_USUAL_WORK, offer, now))
        for offer in offers:
            if not queue.match(offer, now):
                self.search.give_back(offer)

    def _settle_blind(
        self, queue: RequestQueue, order: list[Candidate]
    ) -> None:
        """Offer the server with the least of our own where none answered."""
        now = asyncio.get_running_loop().time()
        candidate = min(order, key=lambda each: each.stats.in_flight)
        slots = candidate.registered.server.slots
        report = LoadReport(candidate.stats.in_flight, 0, slots)
        queue.match(Offer(candidate, report), now)

    def _expect(self, work: float, offer: Offer, now: float) -> float:
        stats = offer.candidate.stats
        expected = expected_seconds(work, offer.report, stats, now)
        if stats.ejected_until > now or not offer.is_healthy:
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
            queue.reject_unservable(loop.time())
            if queue.waiting:
                reserve = self._spare(queue)
                offers = await self.search.probe_some(pool, reserve)
                if offers is not None:
                    self._settle(queue, offers)
                    queue.note_offer_round(loop.time())

    def _spare(self, queue: RequestQueue) -> int:
        """Return how many probes to leave for requests to come."""
        now = asyncio.get_running_loop().time()
        return (
            _SPARE_PROBES
            if queue.has_request_in_time(now)
            else _LATE_SPARE_PROBES
        )

    def _refusal(self, seconds: float, detail: str) -> RefusedError:
        return RefusedError(detail, 'no-server', self.returns.seconds(seconds))


def _placement(waiting: QueuedRequest, offer: Offer) -> Placement:
    return Placement(
        offer.candidate,
        offer.connection,
        waiting.service_seconds,
        waiting.expected,
        offer.report,
    )


def _finish(ended: 'asyncio.Future[None]') -> None:
    if not ended.done():
        ended.set_result(None)
