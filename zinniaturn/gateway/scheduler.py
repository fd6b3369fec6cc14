"""
Assigns each request to a backend server, and queues it while none is free.

A request probes a few servers for their load and takes the best of them. If
none is good enough it waits in its pool's queue, which is served by slots that
responses free and by further probes.
"""

__all__ = ('RequestScheduler',)

import asyncio
import math

from zinniaturn.choosing.reports import LoadReport
from zinniaturn.fleet.tables import FleetPool
from zinniaturn.gateway.offer_costs import OfferCosts
from zinniaturn.gateway.path_decider import PathDecider
from zinniaturn.gateway.pool_gate import PoolGate
from zinniaturn.gateway.request_context import Placement, RequestContext
from zinniaturn.gateway.searching import ServerSearch, offer_if_free
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.backend import BackendConnection
from zinniaturn.locality.departures import LeaveReason
from zinniaturn.placing.candidates import Candidate
from zinniaturn.placing.probe_order import ProbeEffort
from zinniaturn.placing.request_queue import Offer, QueuedRequest, RequestQueue
from zinniaturn.placing.retry_after import RetryAfterJitter
from zinniaturn.reach.decision import PassOn

_GOOD_ENOUGH_FACTOR = 1.4
_POLL_INTERVAL_SECONDS = 0.03
# Between turns of probes, and with a turn whose probes get no response.
_LONGEST_PAUSE_SECONDS = 0.1
_LONGEST_TURN_SECONDS = 0.45
_RESERVED_PROBES = 6
_RESERVED_PROBES_WHEN_ALL_LATE = 15


class RequestScheduler:
    """
    Assigns requests to servers, with one queue for each pool.

    ``costs`` holds what is known of service times and of data centres,
    ``poll_tasks`` the task that keeps probing for a pool's queue, and
    ``pool_gate`` rejects requests to pools without a usable server.
    """

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.search = ServerSearch(state)
        self.costs = OfferCosts(state.locality)
        self.service_times = self.costs.service_times
        self.retry_after_jitter = RetryAfterJitter(state.random_source)
        self.paths = PathDecider(state, self.retry_after_jitter)
        self.queues: dict[str, RequestQueue] = {}
        self.poll_tasks: dict[str, asyncio.Task[None]] = {}
        self.pool_gate = PoolGate(
            state, self.search.permits, self.retry_after_jitter
        )

    async def place(self, context: RequestContext) -> Placement | PassOn:
        """
        Return the server for a request, waiting until one is free.

        Returns the VMs to pass it on to instead where the pool's servers
        respond to them but not to this one. Raises `RejectedError` where the
        pool has no server, none that is free in time, or none that responds to
        any VM.
        """
        is_unplaced = False
        while True:
            plan = await self.paths.decide(context, is_unplaced)
            if plan is not None:
                return plan
            placement = await self._place_here(context)
            if placement is not None:
                return placement
            is_unplaced = True

    async def _place_here(self, context: RequestContext) -> Placement | None:
        """
        Return the server for a request, waiting until one is free.

        Returns ``None`` if the servers fall silent meanwhile.
        """
        loop = asyncio.get_running_loop()
        service_seconds = self.costs.seconds_to_place_by(context, loop.time())
        await self.pool_gate.ensure_usable(context, service_seconds)
        decided = loop.create_future()
        queue = self.queue(context.pool.name)
        queued = QueuedRequest(
            service_seconds,
            context.arrived_at,
            context.objective_at,
            context.deadline,
            context.priority,
            lambda offer: self.costs.expected_seconds(
                service_seconds, offer, loop.time()
            ),
            lambda: _resolve(decided),
            context.tried_servers,
            is_relayed=context.is_relayed,
        )
        queue.add(queued)
        try:
            await self._probe_for(context, queue, queued)
            if queued.is_undecided:
                queue.note_unmatched(queued, loop.time())
                self._start_polling(context.pool)
                context.leave_reason = LeaveReason.QUEUED
                await decided
        except asyncio.CancelledError:
            queue.remove(queued)
            if queued.granted is not None:
                self.search.release(queued.granted)
            raise
        if queued.is_withdrawn:
            return None
        if queued.granted is None:
            self.costs.note_rejection(context, queued, loop.time())
            context.queue_length = len(queue.waiting)
            context.avoids_slow_servers = queue.contention.has_fast_server(
                loop.time()
            )
            raise self.pool_gate.rejection(
                queued.retry_after_seconds or service_seconds,
                'no server is free in time',
            )
        placement = _build_placement(queued, queued.granted)
        placement.send_before = queued.send_before
        placement.has_permit = math.isfinite(queued.send_before)
        placement.is_estimate_settled = self.service_times.is_settled(
            context.route.name
        )
        return placement

    def queue(self, pool: str) -> RequestQueue:
        """Return the queue of a pool, which is created on first use."""
        return self.queues.setdefault(pool, RequestQueue())

    def offer_freed_slot(
        self,
        pool: str,
        placement: Placement,
        connection: BackendConnection,
        now: float,
    ) -> bool:
        """
        Offer a slot that a response has freed to the pool's queue.

        Returns whether a queued request took the slot and its connection.
        """
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
        queued: QueuedRequest,
    ) -> None:
        """Probe servers until the request has one or all rounds are done."""
        probe_order = self.search.probe_order_for(context)
        good_seconds = queued.service_seconds * _GOOD_ENOUGH_FACTOR
        probes_before = context.probe_count
        effort = self._probe_effort(context.pool, queue, queued)
        offers = await self.search.probe_rounds(
            context,
            probe_order,
            effort,
            lambda offer: self.costs.is_good(
                offer,
                queued.expect(offer),
                good_seconds,
                asyncio.get_running_loop().time(),
            ),
        )
        self._match_offers(queue, offers, context)
        if queued.granted is not None:
            return
        self.paths.withdraw_unreachable(context.pool, queue)
        if queued.is_withdrawn:
            return
        if (
            not offers
            and self.search.probe_effort(context.pool) is ProbeEffort.MINIMAL
        ):
            self._match_offers(
                queue, self.search.recent_offers(probe_order), context
            )
        was_refused_probes = context.probe_count == probes_before
        if was_refused_probes and effort is not ProbeEffort.NO_PROBES:
            self._match_offers(
                queue,
                self.search.unprobed_offers(context.pool, probe_order),
                context,
            )
        if probe_order and not any(
            candidate.stats.unanswered == 0 for candidate in probe_order
        ):
            self._offer_least_loaded(queue, probe_order)

    def _probe_effort(
        self,
        pool: FleetPool,
        queue: RequestQueue,
        queued: QueuedRequest,
    ) -> ProbeEffort:
        now = asyncio.get_running_loop().time()
        if queued.is_late(now) and queue.contention.is_contended(now):
            return ProbeEffort.NO_PROBES
        probe_effort = self.search.probe_effort(pool)
        is_alone = len(queue.waiting) == 1
        return (
            ProbeEffort.ALL_ROUNDS
            if probe_effort is ProbeEffort.FIRST_ROUND and is_alone
            else probe_effort
        )

    def _match_offers(
        self,
        queue: RequestQueue,
        offers: list[Offer],
        context: RequestContext | None = None,
    ) -> None:
        """
        Offer servers to the queue, the one of the least cost first.

        ``context`` is the request that they were found for, if it was one.
        """
        now = asyncio.get_running_loop().time()
        if context is not None:
            self.search.local.note_offers(context, offers)
        offers.sort(
            key=lambda offer: self.costs.cost_seconds(offer, context, now)
        )
        for offer in offers:
            if not queue.match(offer, now):
                self.search.release(offer)

    def _offer_least_loaded(
        self, queue: RequestQueue, probe_order: list[Candidate]
    ) -> None:
        """
        Offer the server with the fewest requests of this VM in flight.

        Used where no server answers probes, so that no load is known.
        """
        now = asyncio.get_running_loop().time()
        candidate = min(
            probe_order, key=lambda candidate: candidate.stats.in_flight
        )
        slots = candidate.registered.server.slots
        report = LoadReport(candidate.stats.in_flight, 0, slots)
        queue.match(Offer(candidate, report), now)

    def _start_polling(self, pool: FleetPool) -> None:
        """Start the task that probes while requests wait, unless it runs."""
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
        """
        Probe in turns while requests wait, and reject those that can't be met.

        Those that were never offered a server, because the first turn is not
        over or this process stood still, are only rejected at their deadline.
        """
        queue = self.queue(pool.name)
        loop = asyncio.get_running_loop()
        had_offers = False
        while queue.waiting:
            began_at = loop.time()
            await asyncio.sleep(
                self.state.random_source.uniform(0.6, 1.4)
                * _POLL_INTERVAL_SECONDS,
            )
            had_offers &= loop.time() - began_at < _LONGEST_PAUSE_SECONDS
            queue.reject_unservable(loop.time(), had_offers=had_offers)
            self.paths.withdraw_unreachable(pool, queue)
            if queue.waiting and not self.pool_gate.reject_waiting(pool, queue):
                reserve = self._reserved_probes(queue)
                offers = await self.search.poll_candidates(pool, reserve)
                if offers is not None:
                    self._match_offers(queue, offers)
                    queue.note_offer_round(loop.time())
            had_offers = loop.time() - began_at < _LONGEST_TURN_SECONDS

    def _reserved_probes(self, queue: RequestQueue) -> int:
        """Return how many probes to leave to new requests."""
        now = asyncio.get_running_loop().time()
        return (
            _RESERVED_PROBES
            if queue.has_request_in_time(now)
            else _RESERVED_PROBES_WHEN_ALL_LATE
        )


def _build_placement(queued: QueuedRequest, offer: Offer) -> Placement:
    return Placement(
        offer.candidate,
        offer.connection,
        queued.service_seconds,
        queued.expected,
        offer.report,
    )


def _resolve(decided: 'asyncio.Future[None]') -> None:
    if not decided.done():
        decided.set_result(None)
