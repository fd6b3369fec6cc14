"""The gateway process: its listeners, background tasks and shutdown."""

__all__ = ('Gateway',)

import asyncio
import random
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from zinniaturn.admission.table import AdmissionTable
from zinniaturn.clock import BootClock
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.domain import FleetSnapshot, VmRecord
from zinniaturn.fleet.failure_detection import PING_INTERVAL_SECONDS
from zinniaturn.fleet.fleet_state import FleetState
from zinniaturn.fleet.gossip import GossipProtocol
from zinniaturn.fleet.hold_keeper import HoldKeeper
from zinniaturn.fleet.joining import (
    REGISTRATION_SPREAD_SECONDS,
    FleetJoiner,
    StartPatience,
)
from zinniaturn.fleet.poll_schedule import PollSchedule
from zinniaturn.fleet.registration import VmRegistration
from zinniaturn.fleet.state_change import StateChange
from zinniaturn.fleet.store import FleetStore
from zinniaturn.fleet.store_poller import EvacuationsPoller, StorePoller
from zinniaturn.fleet.vms import VmTable
from zinniaturn.gateway.client_report import ClientReport
from zinniaturn.gateway.dispatch import Dispatcher
from zinniaturn.gateway.event_log import EventLog
from zinniaturn.gateway.graceful_stop import GracefulStop
from zinniaturn.gateway.path_watch import PathWatch
from zinniaturn.gateway.ports import Port, build_ports
from zinniaturn.gateway.quarantine_log import log_standing
from zinniaturn.gateway.reporting import StateReporter
from zinniaturn.gateway.settings import GatewaySettings
from zinniaturn.gateway.state import GatewayState
from zinniaturn.gateway.wire_format import WireFormat
from zinniaturn.http1.client_account import ClientAccount
from zinniaturn.http1.connections import ConnectionPool
from zinniaturn.http1.listener import Listener
from zinniaturn.placing.demand import capacity
from zinniaturn.reach.reach_table import ReachTable

_MAINTENANCE_INTERVAL_SECONDS = 0.5
_RESTART_DELAY_SECONDS = 0.2

BackgroundTask = Callable[[], Coroutine[None, None, None]]


class Gateway:
    """One gateway process; call `start`, then `stop`."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: FleetStore,
        wire_format: WireFormat,
        event_log: EventLog,
    ) -> None:
        clock = BootClock()
        random_source = random.Random()
        self.settings = settings
        self.store = store
        self.event_log = event_log
        record = VmRecord(
            settings.name,
            settings.data_center,
            '' if settings.front is None else '{}:{}'.format(*settings.front),
            (settings.host, settings.first_port),
            capacity(settings.processor_share, settings.link_megabits),
        )
        self.clients = ClientAccount.build(
            asyncio.get_running_loop().time,
            settings.memory_megabytes,
            settings.max_descriptors,
        )
        self.byte_budget = self.clients.budget
        self.fleet_state = FleetState(clock, store.decode_tables)
        self.fleet_state.follow_evacuations(settings.bounds.evacuate_seconds)
        self.vms = VmTable(record, clock)
        admissions = AdmissionTable(clock)
        reach = ReachTable(
            clock, settings.name, lambda: len(self.vms.alive_vms())
        )
        self.state = GatewayState(
            settings,
            wire_format,
            self.fleet_state,
            self.vms,
            admissions,
            reach,
            event_log,
            random_source,
            asyncio.get_running_loop().time(),
            connections=ConnectionPool(
                settings.host,
                self.byte_budget,
                self.clients.most_server_connections,
            ),
        )
        self.dispatcher = Dispatcher(self.state)
        self.path_watch = PathWatch(
            self.state, self.dispatcher.attempt_runner.scheduler.search
        )
        self.reporter = StateReporter(self.state, self.dispatcher)
        self.client_report = ClientReport(self.state, self.clients)
        self.fleet_state.observers.append(self.reporter.apply_change)
        self.fleet_state.observers.append(self._on_change)
        self.store_poller = StorePoller(
            store,
            self.fleet_state,
            self.vms,
            PollSchedule.within_bound(
                random_source, settings.bounds.follow_seconds
            ),
        )
        self.evacuations_poller = EvacuationsPoller(
            store,
            self.fleet_state,
            self.vms,
            random_source,
            lambda: self.peers.push(),
            self.reporter.note_store_reply,
        )
        self.store_poller.on_reply.append(self.reporter.note_store_reply)
        self.store_poller.on_fault.append(
            partial(self.state.log_fault, 'reading the store')
        )
        self.peers = GossipProtocol(
            record,
            self.fleet_state,
            self.vms,
            self.state.connections,
            admissions,
            reach,
            lambda: self.state.stage,
            lambda: round(self.state.own_request_rate()),
            self.reporter.note_rejected_message,
            self.state.log_admission,
        )
        self.state.gossip = self.peers
        self.peers.detector.on_round_trip = (
            self.reporter.locality_watch.note_round_trip
        )
        activation = self.state.locality.activation
        self.peers.detector.peers.spares_far = lambda: activation.is_on
        self.peers.is_outdated = self.dispatcher.tenant_gate.is_outdated
        self.peers.crash_news.on_crash = self.dispatcher.crash_watch.check_told
        self.peers.quarantine.on_change = partial(log_standing, self.state)
        self.registration = VmRegistration(
            store,
            self.vms,
            self.reporter.note_store_reply,
            clock,
            self.peers.pause_guard,
        )
        self.hold_keeper = HoldKeeper(
            store, self.peers.crash_news, self.reporter.note_store_reply
        )
        now = clock.monotonic()
        self.joiner = FleetJoiner(
            store,
            self.fleet_state,
            self.vms,
            self.peers,
            self.registration,
            StartPatience(now, settings.is_first_start),
            now + random_source.uniform(0, REGISTRATION_SPREAD_SECONDS),
            self.reporter.note_store_reply,
        )
        self.store_poller.on_read.append(self._on_fleet_read)
        self.listeners: list[Listener] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the listeners and background tasks; raises `OSError`."""
        settings = self.settings
        asyncio.get_running_loop().set_exception_handler(self._log_exception)
        await self.peers.start()
        ports = build_ports(
            self.settings, self.state, self.dispatcher, self.clients
        )
        for port in ports:
            await self._listen(port)
        self._start_background_tasks()
        self.event_log.write(
            LogEvent.GATEWAY_STARTED,
            front=self.vms.own.front,
            data_center=settings.data_center,
        )

    async def stop(self) -> None:
        """Shut down gracefully within the configured time."""
        graceful_stop = GracefulStop(
            self.state, self.dispatcher, self.listeners
        )
        await graceful_stop.run(self.settings.bounds.stop_seconds)
        for task in self.tasks:
            task.cancel()
        self.peers.close()
        graceful_stop.log_end()

    def apply(self, settings: GatewaySettings) -> None:
        """
        Apply changed settings to the running process.

        The listening addresses and the VM's capacity stay as they were at the
        start, since they are part of the VM's record.
        """
        self.settings = settings
        self.state.settings = settings
        self.reporter.locality_watch.apply(settings)
        self.state.apply_bounds()
        self.fleet_state.follow_evacuations(settings.bounds.evacuate_seconds)
        self.clients.set_resources(
            settings.memory_megabytes, settings.max_descriptors
        )
        slots = self.state.connections.slots
        slots.most = self.clients.most_server_connections
        self.event_log.write(LogEvent.SETTINGS_RELOADED)

    def _start_background_tasks(self) -> None:
        task_functions: dict[str, BackgroundTask] = {
            'reading the store': self._follow_store,
            'reading evacuations': self.evacuations_poller.run,
            'gossip': self._run_gossip,
            'ticks': self._run_maintenance,
        }
        self.tasks.extend(
            asyncio.ensure_future(self._keep_running(name, task_function))
            for name, task_function in task_functions.items()
        )

    def _log_exception(
        self, loop: asyncio.AbstractEventLoop, details: dict[str, Any]
    ) -> None:
        """Log what the event loop reports, such as a failed callback."""
        error = details.get('exception')
        self.state.log_fault(
            details['message'], error or RuntimeError('no exception')
        )

    async def _keep_running(
        self, name: str, task_function: BackgroundTask
    ) -> None:
        """Run a background task for ever; log its exceptions and restart it."""
        while True:
            try:
                await task_function()
            except Exception as error:
                self.state.log_fault(name, error)
                await asyncio.sleep(_RESTART_DELAY_SECONDS)

    async def _run_gossip(self) -> None:
        """Ping other VMs and watch the paths to the pools."""
        while True:
            self.path_watch.tick()
            self.dispatcher.crash_watch.tick()
            self.peers.tick()
            await asyncio.sleep(PING_INTERVAL_SECONDS)

    async def _follow_store(self) -> None:
        """Get the first state from other VMs if they give one, then poll."""
        await self.joiner.run()
        await self.store_poller.run()

    async def _listen(self, port: Port) -> None:
        if port.address is not None:
            door = self.clients.door(port.place)
            listener = Listener(port.service, door)
            await listener.start(*port.address)
            self.listeners.append(listener)

    def _on_change(self, change: StateChange) -> None:
        """
        Act at once on a change that others or requests wait for.

        A VM that has just become ready owns allowances and limits from then on,
        and the store may have lost its record.
        """
        if change.tables_revision is not None:
            self.peers.update_own_status()
        if change.store_went_back:
            self.registration.forget_writes()
            self.registration.reconcile(self.fleet_state.vms)

    def _on_fleet_read(self, snapshot: FleetSnapshot) -> None:
        """Check this VM's record in a new snapshot and tell other VMs."""
        self.registration.reconcile(snapshot.vms)
        self.hold_keeper.reconcile(snapshot.holds)
        self.peers.push()
        self.reporter.log_unreadable_entries(snapshot)

    async def _run_maintenance(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_SECONDS)
            self.state.connections.close_stale(loop.time())
            self.dispatcher.probe_leaving_servers()
            self.reporter.log_refused_bodies(self.byte_budget)
            self.client_report.tick(loop.time())
            self.reporter.log_vm_changes()
            self.reporter.locality_watch.tick(loop.time())
            self.reporter.log_tables_age()
            if self.fleet_state.document is not None:
                self.registration.reconcile(self.fleet_state.vms)
