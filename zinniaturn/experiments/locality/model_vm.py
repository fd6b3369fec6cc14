"""A VM of the model: the product's choice of servers with a played network."""

__all__ = ('POOL', 'SERVICE_SECONDS', 'ModelVm', 'Network')

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType, SimpleNamespace
from typing import Any

from zinniaturn.admission.table import AdmissionTable
from zinniaturn.experiments.locality.model_server import ModelServer
from zinniaturn.experiments.locality.virtual_loop import VirtualLoop
from zinniaturn.fleet.domain import (
    RegisteredServer,
    VmRecord,
    VmStage,
    VmStatus,
)
from zinniaturn.fleet.fleet_state import FleetState
from zinniaturn.fleet.pause_guard import PauseGuard
from zinniaturn.fleet.state_change import StateChange
from zinniaturn.fleet.tables import FleetPool, FleetTables
from zinniaturn.fleet.vms import VmTable
from zinniaturn.gateway.allowance_gate import AllowanceGate
from zinniaturn.gateway.attempt_runner import AttemptRunner
from zinniaturn.gateway.crash_watch import CrashWatch
from zinniaturn.gateway.event_log import EventLog
from zinniaturn.gateway.exceptions import AttemptError
from zinniaturn.gateway.prober import ProbeResult
from zinniaturn.gateway.quarantine_gate import QuarantineGate
from zinniaturn.gateway.relay_client import RelayClient
from zinniaturn.gateway.request_context import Placement, RequestContext
from zinniaturn.gateway.scheduler import RequestScheduler
from zinniaturn.gateway.settings import GatewaySettings
from zinniaturn.gateway.state import GatewayState
from zinniaturn.gateway.stop_gate import StopGate
from zinniaturn.gateway.tenant_gate import TenantGate
from zinniaturn.http1.messages import Response
from zinniaturn.outcomes import Event, Phase
from zinniaturn.placing.candidates import Candidate
from zinniaturn.quarantine.table import QuarantineTable
from zinniaturn.reach.reach_table import ReachTable
from zinniaturn.tables.domain import Server

POOL = FleetPool('pool', ())

SERVICE_SECONDS: Mapping[str, float] = MappingProxyType(
    {'reads': 0.2, 'files': 0.26}
)

_FIRST_RESULT_WAIT_SECONDS = 0.012
_MAX_WAIT_SECONDS = 0.06
_PROBE_TIMEOUT_SECONDS = 0.3
_NO_PERMITS = SimpleNamespace(request=lambda admission: False)
_CLOSED_OUTPUT = -1
_FULL_STATUS = 200


@dataclass(slots=True)
class Network:
    """
    Delays of the model's network, in seconds.

    ``round_trips`` are those between data centres, by their pair. Each probe
    and each request waits for its process and its server's, too.
    """

    random_source: random.Random
    round_trips: Mapping[frozenset[str], float]
    inside_seconds: float = 0.0002
    process_seconds: float = 0.0008

    def round_trip(self, one: str, other: str) -> float:
        """Return the time of a message and of its reply."""
        way = self.inside_seconds
        if one != other:
            way = self.round_trips[frozenset((one, other))]
        return way + self.random_source.expovariate(1 / self.process_seconds)


class _Connection:
    """A connection that is always usable."""

    def is_usable(self, now: float) -> bool:
        """Return whether a request may be sent on it."""
        return True


class _Connections:
    """Stands for the pool of idle connections."""

    def keep_idle(self, address: object, connection: object) -> None:
        """Do nothing."""


@dataclass(slots=True)
class _ModelProber:
    """Probes the model's servers as `Prober` does."""

    data_center: str
    network: Network
    servers: Mapping[str, ModelServer]

    async def probe(
        self, candidates: Sequence[Candidate], health_path: str
    ) -> list[ProbeResult]:
        """Return the results that arrive in time."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        trips = []
        for candidate in candidates:
            server = self.servers[candidate.name]
            server.probes += 1
            seconds = self.network.round_trip(
                self.data_center, server.data_center
            )
            if server.traits.is_dead:
                seconds = _PROBE_TIMEOUT_SECONDS
            trips.append((seconds, candidate, server))
        trips.sort(key=lambda trip: trip[0])
        results: list[ProbeResult] = []
        until = trips[-1][0]
        if until > _FIRST_RESULT_WAIT_SECONDS:
            until = max(_FIRST_RESULT_WAIT_SECONDS, trips[0][0])
        until = min(until, _MAX_WAIT_SECONDS)
        for seconds, candidate, server in trips:
            if server.traits.is_dead:
                loop.call_later(seconds, candidate.stats.note_unanswered)
                continue
            if seconds > until:
                break
            await asyncio.sleep(max(0, began_at + seconds / 2 - loop.time()))
            report = server.report(loop.time())
            candidate.stats.note_report(report, began_at + seconds)
            result = ProbeResult(candidate, report, _Connection())  # type: ignore[arg-type]
            if hasattr(result, 'seconds'):
                result.seconds = seconds
            results.append(result)
        await asyncio.sleep(max(0, began_at + until - loop.time()))
        return results

    def release(self, result: ProbeResult) -> None:
        """Do nothing with the connection of an unused result."""


class ModelVm:
    """A VM with the product's scheduler, hedges and retries."""

    def __init__(
        self,
        record: VmRecord,
        servers: Mapping[str, ModelServer],
        network: Network,
        loop: VirtualLoop,
        random_source: random.Random,
        **settings: Any,
    ) -> None:
        self.record = record
        self.servers = servers
        self.network = network
        fleet_state = FleetState(loop, lambda document: FleetTables())
        fleet_state.servers = {
            server.name: RegisteredServer(
                Server(
                    server.name,
                    server.name,
                    1,
                    server.traits.slots,
                    server.data_center,
                ),
                POOL.name,
                1,
            )
            for server in servers.values()
        }
        state = GatewayState(
            GatewaySettings(
                record.name,
                record.name,
                record.data_center,
                ('store', 1),
                **settings,
            ),
            SimpleNamespace(),  # type: ignore[arg-type]
            fleet_state,
            VmTable(record, loop),
            AdmissionTable(loop),
            ReachTable(loop, record.name, lambda: 1),
            EventLog(record.name, _CLOSED_OUTPUT),
            random_source,
            loop.time() - 10,
            connections=_Connections(),  # type: ignore[arg-type]
        )
        state.gossip = SimpleNamespace(  # type: ignore[assignment]
            permits=_NO_PERMITS,
            quarantine=QuarantineTable(loop, record.name, tuple),
            pause_guard=PauseGuard(loop.monotonic()),
        )
        state.stage = VmStage.READY
        state.apply_change(StateChange(1))
        self.state = state
        scheduler = RequestScheduler(state)
        scheduler.search.prober = _ModelProber(  # type: ignore[assignment]
            record.data_center, network, servers
        )
        self.runner = _ModelRunner(
            state,
            scheduler,
            RelayClient(state),
            CrashWatch(state),
            QuarantineGate(state, scheduler.retry_after_jitter),
            StopGate(state, scheduler.retry_after_jitter),
            TenantGate(state, scheduler.retry_after_jitter),
            AllowanceGate(state, scheduler.service_times),
        )
        self.runner.vm = self

    def hear(self, records: Sequence[VmRecord], load: int) -> None:
        """Know the other VMs and that each has this load."""
        self.state.vms.update_records(records)
        for record in records:
            if record.name != self.record.name:
                self.state.vms.apply(
                    VmStatus(record.name, 1, VmStage.READY, load, record)
                )

    async def send(
        self, context: RequestContext, placement: Placement
    ) -> Response:
        """Run an attempt at a server as `send_attempt` does."""
        loop = asyncio.get_running_loop()
        candidate = placement.candidate
        server = self.servers[candidate.name]
        stats = candidate.stats
        began_at = loop.time()
        trip = self.network.round_trip(
            self.record.data_center, server.data_center
        )
        stats.begin()
        try:
            await asyncio.sleep(trip / 2)
            await _run_at(server, candidate, context.route.name)
            await asyncio.sleep(trip / 2)
        except asyncio.CancelledError:
            now = loop.time()
            stats.note_unfinished(
                now - began_at, placement.expected_seconds, now
            )
            raise
        finally:
            stats.end()
        now = loop.time()
        stats.note_report(server.report(now), now)
        expected = (
            placement.expected_seconds
            if placement.is_estimate_settled
            else now - began_at
        )
        stats.note_success(now - began_at, expected, now)
        return Response(_FULL_STATUS, b'', [], context.request.body)


async def _run_at(
    server: ModelServer, candidate: Candidate, route: str
) -> None:
    """Run a request at a server; raises `AttemptError`."""
    loop = asyncio.get_running_loop()
    if server.traits.is_dead:
        await asyncio.sleep(_PROBE_TIMEOUT_SECONDS)
        candidate.stats.note_failure(loop.time())
        raise AttemptError(
            'no connection', Phase.NOT_SENT, Event.CONNECT_FAILED
        )
    if not await server.run(SERVICE_SECONDS[route]):
        now = loop.time()
        candidate.stats.note_report(server.report(now), now)
        raise AttemptError('full', Phase.SENT_WHOLE, Event.SERVER_SHED)


class _ModelRunner(AttemptRunner):
    """The product's attempts, over the model's network."""

    vm: ModelVm

    async def _send(
        self, context: RequestContext, placement: Placement
    ) -> Response:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            response = await self.vm.send(context, placement)
        except AttemptError:
            if hasattr(self.scheduler, 'costs'):
                self.scheduler.costs.note_failure(placement, loop.time())
            raise
        now = loop.time()
        self.scheduler.offer_freed_slot(
            POOL.name,
            placement,
            _Connection(),  # type: ignore[arg-type]
            now,
        )
        context.responding_server = placement.candidate.name
        route = context.route
        if hasattr(self.scheduler, 'costs'):
            self.scheduler.costs.note_response(
                context, placement, response, now - sent_at, now
            )
        else:
            # An earlier build.
            self.scheduler.service_times.update(  # type: ignore[call-arg]
                route.name,
                route.objective_seconds,
                now - sent_at,
                placement.expected_seconds,
            )
        return response
