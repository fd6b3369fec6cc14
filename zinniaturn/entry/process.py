"""The entry process: listeners, components, signals and shutdown."""

__all__ = ('Entry', 'run_entry')

import asyncio
import contextlib
import random
import signal

from aiohttp import web

from zinniaturn.clock import SystemClock
from zinniaturn.entry.admin import make_admin
from zinniaturn.entry.caller_connections import CallerConnections
from zinniaturn.entry.components import Component, build_components
from zinniaturn.entry.exceptions import ListenError
from zinniaturn.entry.frontend import Frontend
from zinniaturn.entry.gc_tuning import freeze_heap, tune_garbage_collector
from zinniaturn.entry.graceful_shutdown import (
    drain_connections,
    serve_until_addresses_expire,
)
from zinniaturn.entry.peer_state_recorder import PeerStateRecorder
from zinniaturn.entry.protocol import CallerServer
from zinniaturn.entry.state import EntryState
from zinniaturn.entry.tls_contexts import EntryTlsContexts
from zinniaturn.events import LogEvent, log_event, record_events
from zinniaturn.explain import DecisionLog
from zinniaturn.explain.events import EventRecorder
from zinniaturn.limits import ConnectionAdmission, ProgressLimits
from zinniaturn.limits.descriptors import raise_descriptor_limit
from zinniaturn.settings import EntrySettings
from zinniaturn.sockets import accept_waiting
from zinniaturn.store import HttpStore

_MAX_HEADER_BYTES = 32_768
_ACCEPT_TIMEOUT_SECONDS = 1.0
_FORCED_CLOSE_TIMEOUT_SECONDS = 3.0


class Entry:
    """An entry: call `start`, then `stop` or `force_close`."""

    def __init__(self, settings: EntrySettings) -> None:
        random_source = random.Random(settings.seed)
        self.settings = settings
        self.state = EntryState(
            settings,
            SystemClock(),
            random_source,
            recorder=DecisionLog(settings.decision_records),
        )
        self.state.installed.tables_observers.append(self.state.install_pools)
        self.store = HttpStore(settings.store_url, caller=settings.name)
        self.frontend = Frontend(self.state, self.store)
        self.tls_contexts = EntryTlsContexts(settings)
        self.state.connections.tls = self.tls_contexts.backend_context
        self.callers = CallerConnections(
            ConnectionAdmission(
                settings.max_connections,
                settings.max_connections_per_caller,
            ),
            ProgressLimits(
                settings.head_seconds,
                settings.body_seconds,
                settings.reader_seconds,
            ),
        )
        self.state.callers = self.callers
        self.components: list[Component] = [
            *build_components(
                self.state, self.store, self.tls_contexts.peer_security()
            ),
            self.callers,
            self.tls_contexts.reloader(settings.tls_reload_seconds),
        ]
        control = self.state.control
        if control is not None:
            client = control.gossip.client
            self.tls_contexts.renew_peer_security = client.replace_credentials
            self.components.append(
                PeerStateRecorder(control.table, self.state.recorder)
            )
        self.server: CallerServer | None = None
        self.listener: asyncio.Server | None = None
        self.admin_runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Open the listeners and start the components; raises `ListenError`."""
        self.server = CallerServer(
            self.frontend.handle,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
        )
        self.server.on_failure = self.frontend.count_protocol_failure
        self.server.callers = self.callers
        try:
            self.listener = await asyncio.get_running_loop().create_server(
                self.server,
                self.settings.host,
                self.settings.port,
                ssl=self.tls_contexts.caller_context,
            )
            await self._start_admin()
        except OSError as error:
            raise ListenError(str(error)) from error
        self.state.port = self.port
        self.state.admin_port = self.admin_port
        for component in self.components:
            await component.start()
        log_event(LogEvent.ENTRY_STARTED, port=self.port)

    @property
    def port(self) -> int:
        """Return the port that callers connect to."""
        assert self.listener is not None
        return int(self.listener.sockets[0].getsockname()[1])

    @property
    def admin_port(self) -> int:
        """Return the port of the admin address."""
        assert self.admin_runner is not None
        return int(self.admin_runner.addresses[0][1])

    async def stop(self) -> None:
        """Finish the requests in flight, then close everything."""
        self.state.lifecycle.drain()
        await serve_until_addresses_expire(self.state)
        if self.listener is not None and self.server is not None:
            accepting = accept_waiting(
                self.listener, self.server, self.tls_contexts.caller_context
            )
            self.listener.close()
            if accepting:
                await asyncio.wait(accepting, timeout=_ACCEPT_TIMEOUT_SECONDS)
            await drain_connections(self.state, self.server)
        await self._close()
        self.state.lifecycle.finish()

    async def force_close(self) -> None:
        """Close every connection at once, when the operator forces it."""
        log_event(
            LogEvent.ENTRY_FORCED,
            requests=self.state.requests_in_flight,
        )
        if self.server is not None:
            for connection in self.server.protocols():
                connection.force_close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_FORCED_CLOSE_TIMEOUT_SECONDS):
                await self._close()

    async def _start_admin(self) -> None:
        self.admin_runner = web.AppRunner(
            make_admin(self.state),
            access_log=None,
        )
        await self.admin_runner.setup()
        site = web.TCPSite(
            self.admin_runner,
            self.settings.admin_host,
            self.settings.admin_port,
            ssl_context=self.tls_contexts.admin_context,
        )
        await site.start()

    async def _close(self) -> None:
        for component in reversed(self.components):
            await component.stop()
        if self.server is not None:
            await self.server.shutdown(timeout=1)
        if self.admin_runner is not None:
            await self.admin_runner.cleanup()
        self.state.connections.close()
        await self.store.close()


async def run_entry(settings: EntrySettings) -> bool:
    """
    Run an entry until it gets a signal to stop.

    SIGTERM and SIGINT start a graceful shutdown, also when repeated. SIGQUIT
    aborts the requests in flight. Returns whether the shutdown was graceful.
    """
    entry = Entry(settings)
    stop_requested = asyncio.Event()
    force_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGQUIT, force_requested.set)
    record_events(
        EventRecorder(
            settings.name,
            entry.state.recorder,
            entry.state.metrics.count_event,
        ),
    )
    _limit_connections_to_descriptors(entry.callers.admission)
    await entry.start()
    tune_garbage_collector()
    entry.state.installed.tables_observers.append(lambda _: freeze_heap())
    await _wait_for_any(stop_requested, force_requested)
    stop = asyncio.create_task(entry.stop())
    force = asyncio.create_task(force_requested.wait())
    await asyncio.wait((stop, force), return_when=asyncio.FIRST_COMPLETED)
    if stop.done():
        force.cancel()
        await stop
        return True
    stop.cancel()
    await asyncio.gather(stop, return_exceptions=True)
    await entry.force_close()
    return False


async def _wait_for_any(*events: asyncio.Event) -> None:
    tasks = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def _limit_connections_to_descriptors(admission: ConnectionAdmission) -> None:
    wanted = admission.total
    budget = raise_descriptor_limit()
    admission.total = budget.allowed_connections(wanted)
    if admission.total < wanted:
        log_event(
            LogEvent.DESCRIPTORS_FEW,
            wanted=wanted,
            allowed=admission.total,
            open_files=budget.limit,
        )
