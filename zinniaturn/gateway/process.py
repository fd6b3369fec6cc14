"""The gateway process: its listeners, its tasks and its stop."""

__all__ = ('Gateway', 'run_gateway')

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine

from zinniaturn.clock import BootClock
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.domain import FleetReading, VmRecord, VmStage
from zinniaturn.fleet.following import Registration, StateReader
from zinniaturn.fleet.knowledge import Knowledge
from zinniaturn.fleet.pacing import ReadPacing
from zinniaturn.fleet.peers import PeerExchange, StateService
from zinniaturn.fleet.port import FleetStore
from zinniaturn.fleet.vms import VmTable
from zinniaturn.gateway.dialect import Dialect
from zinniaturn.gateway.dispatch import Dispatcher
from zinniaturn.gateway.journal import Journal
from zinniaturn.gateway.rendering import render_metrics
from zinniaturn.gateway.reporting import StateReporter
from zinniaturn.gateway.services import (
    LookupService,
    MetricsService,
    ReadinessService,
)
from zinniaturn.gateway.settings import GatewaySettings
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.connections import Address
from zinniaturn.http1.listener import Listener
from zinniaturn.placing.address_selection import AddressSelector
from zinniaturn.placing.demand import capacity

_INCARNATION_BITS = 53
_TICK_SECONDS = 0.5
_RESTART_SECONDS = 0.2
_STOP_POLL_SECONDS = 0.05
_SERVE_SHARE = 0.72
_LAST_SHARE = 0.92

Part = Callable[[], Coroutine[None, None, None]]
Reload = Callable[[], GatewaySettings | None]


class Gateway:
    """One process; `start`, then `stop`."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: FleetStore,
        dialect: Dialect,
        journal: Journal,
    ) -> None:
        clock = BootClock()
        source = random.Random()
        self.settings = settings
        self.store = store
        self.journal = journal
        record = VmRecord(
            settings.name,
            source.getrandbits(_INCARNATION_BITS),
            settings.data_center,
            '' if settings.front is None else '{}:{}'.format(*settings.front),
            (settings.host, settings.first_port),
            capacity(settings.processor_share, settings.link_megabits),
        )
        self.knowledge = Knowledge(clock, store.decode_tables)
        self.vms = VmTable(record, clock)
        self.state = GatewayState(
            settings,
            dialect,
            self.knowledge,
            self.vms,
            journal,
            source,
            asyncio.get_running_loop().time(),
        )
        self.dispatcher = Dispatcher(self.state)
        self.reports = StateReporter(self.state, self.dispatcher)
        self.knowledge.observers.append(self.reports.note_change)
        self.reader = StateReader(
            store,
            self.knowledge,
            self.vms,
            ReadPacing.within(source, settings.bounds.follow_seconds),
        )
        self.reader.on_reply.append(self.reports.note_reply)
        self.registration = Registration(
            store,
            self.vms,
            self.reports.note_reply,
            clock,
        )
        self.peers = PeerExchange(
            record,
            self.knowledge,
            self.vms,
            self.state.connections,
            lambda: self.state.stage,
            lambda: round(self.state.own_load()),
            self.reports.note_refused,
        )
        self.reader.on_read.append(self._follow_up)
        self.listeners: list[Listener] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen and begin to follow the store; raises `OSError`."""
        settings = self.settings
        await self.peers.start()
        await self._listen(
            (settings.host, settings.first_port + 1),
            StateService(self.knowledge),
        )
        lookups = AddressSelector(
            self.state.source,
            min(2.0, settings.bounds.lookup_seconds),
        )
        for address, service in self._services(lookups):
            if address is not None:
                await self._listen(address, service)
        self._begin_tasks()
        self.journal.write(
            LogEvent.GATEWAY_STARTED,
            front=self.vms.own.front,
            data_center=settings.data_center,
        )

    async def stop(self) -> None:
        """
        Serve callers that come with older answers, then those in flight.

        The addresses that callers were told live on for a while, so that the
        process goes on listening for most of the time that it has.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        seconds = self.settings.bounds.stop_seconds
        self.state.stage = VmStage.STOPPING
        self.journal.write(
            LogEvent.GATEWAY_STOPPING,
            in_flight=self._in_flight(),
        )
        await self.peers.say_stopping()
        await asyncio.sleep(seconds * _SERVE_SHARE)
        await self._finish_requests(began + seconds * _LAST_SHARE)
        for task in self.tasks:
            task.cancel()
        self.peers.close()
        self.journal.write(
            LogEvent.GATEWAY_STOPPED,
            in_flight=self._in_flight(),
        )

    def apply(self, settings: GatewaySettings) -> None:
        """
        Take over changed settings.

        The addresses listened on and the VM's size stay as they were at the
        start, since the VM's record names them.
        """
        self.settings = settings
        self.state.settings = settings
        self.state.renew_allowances()
        self.journal.write(LogEvent.SETTINGS_RELOADED)

    def _services(
        self,
        lookups: AddressSelector,
    ) -> tuple[tuple[Address | None, object], ...]:
        settings = self.settings
        metrics = MetricsService(lambda: render_metrics(self.state))
        metrics_address = None
        if settings.metrics_port:
            metrics_address = settings.host, settings.metrics_port
        return (
            (settings.front, self.dispatcher),
            (settings.readiness, ReadinessService(self.state)),
            (settings.directory, LookupService(self.state, lookups)),
            (metrics_address, metrics),
        )

    def _begin_tasks(self) -> None:
        parts: dict[str, Part] = {
            'reading the store': self.reader.run,
            'heartbeats': self.peers.run,
            'ticks': self._tick,
        }
        self.tasks.extend(
            asyncio.ensure_future(self._keep_running(name, part))
            for name, part in parts.items()
        )

    async def _keep_running(self, name: str, part: Part) -> None:
        """Run a part for ever; a fault in it is logged and it starts anew."""
        while True:
            try:
                await part()
            except Exception as error:
                self.state.note_fault(name, error)
                await asyncio.sleep(_RESTART_SECONDS)

    async def _listen(self, address: tuple[str, int], service: object) -> None:
        listener = Listener(service)  # type: ignore[arg-type]
        await listener.start(*address)
        self.listeners.append(listener)

    async def _finish_requests(self, until: float) -> None:
        """Stop listening and wait for the last answer, at most until then."""
        loop = asyncio.get_running_loop()
        self._close_idle()
        while loop.time() < until and not self._is_idle():
            await asyncio.sleep(_STOP_POLL_SECONDS)
            self._close_idle()

    def _close_idle(self) -> None:
        for each in self.listeners:
            each.close()

    def _is_idle(self) -> bool:
        return all(each.is_idle() for each in self.listeners)

    def _in_flight(self) -> int:
        return sum(each.in_flight for each in self.listeners)

    def _follow_up(self, reading: FleetReading) -> None:
        """Compare a reading with this VM's record and tell the other VMs."""
        self.registration.check(reading.vms)
        self.peers.send_heartbeats()
        self.reports.note_reading(reading)

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            self.state.connections.drop_stale(loop.time())
            self.reports.note_vms()


async def run_gateway(
    settings: GatewaySettings,
    store: FleetStore,
    dialect: Dialect,
    journal: Journal,
    reload: Reload,
) -> None:
    """
    Run a gateway until SIGTERM or SIGINT.

    ``reload`` returns changed settings, or ``None`` where there are none; it
    is called on SIGHUP and now and then.
    """
    gateway = Gateway(settings, store, dialect, journal)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()

    def apply_changed() -> None:
        changed = reload()
        if changed is not None:
            gateway.apply(changed)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, apply_changed)
    await gateway.start()
    watching = asyncio.create_task(_watch_settings(apply_changed))
    await stopping.wait()
    watching.cancel()
    await gateway.stop()


async def _watch_settings(apply_changed: Callable[[], None]) -> None:
    while True:
        await asyncio.sleep(1)
        apply_changed()
