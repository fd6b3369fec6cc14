"""Injection of a plan's faults into VMs, servers, links and the store."""

__all__ = ('FaultInjector',)

import asyncio
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from zinniaturn.experiments.soak.crowd import play_crowd
from zinniaturn.experiments.soak.deadly import play_deadly
from zinniaturn.experiments.soak.fleet import (
    STARTUP_SECONDS,
    SoakFleet,
    SoakServer,
)
from zinniaturn.experiments.soak.link_cuts import cut_links
from zinniaturn.experiments.soak.plan import Fault, FaultKind
from zinniaturn.experiments.soak.statement_faults import (
    STATEMENT_KINDS,
    go_back,
    play_statement,
)
from zinniaturn.experiments.soak.vms import VmProcess
from zinniaturn.platform.standins import ServerFault, StoreFault
from zinniaturn.platform.standins.wire import server_key
from zinniaturn.standins.faults import (
    BlackHole,
    DelayAnswer,
    LoseAnswer,
    NoFault,
)
from zinniaturn.standins.faults import Fault as LinkFault

_AFTEREFFECT_SECONDS = 3.0
_RESTART_DELAY_SECONDS = 0.4
_STOP_TIMEOUT_SECONDS = 7.0
_RESPONSE_DELAY_SECONDS = 0.15
_DRAIN_SECONDS = 3.0
_SLOWNESS_FACTOR = 5.0
_STORE_FAULTS = MappingProxyType(
    {
        FaultKind.STORE_BUSY: StoreFault.BUSY,
        FaultKind.STORE_RESET: StoreFault.RESET,
        FaultKind.STORE_SILENT: StoreFault.SILENT,
        FaultKind.STORE_LOSES_REPLIES: StoreFault.LOST,
    }
)
_SERVER_FAULTS = (
    ServerFault.SHED,
    ServerFault.LOST,
    ServerFault.ERROR,
    ServerFault.EXTRA,
    ServerFault.STALE,
    ServerFault.UNFRAMED,
    ServerFault.UNFRAMED_CUT,
    ServerFault.SHORT,
    ServerFault.GIBBERISH,
    ServerFault.UNSIGNED,
    ServerFault.MUTE,
)


@dataclass(slots=True)
class FaultInjector:
    """Injects faults into a fleet."""

    fleet: SoakFleet
    tasks: set['asyncio.Task[None]'] = field(default_factory=set)

    def inject(self, fault: Fault) -> None:
        """Start a fault, which ends after its duration."""
        task = asyncio.ensure_future(self._run_fault(fault))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """Cancel the faults in progress."""
        for task in self.tasks:
            task.cancel()

    async def _run_fault(self, fault: Fault) -> None:
        while not self.fleet.servers:
            # Deadly requests have ended all; others are about to start.
            await asyncio.sleep(_RESTART_DELAY_SECONDS)
        handlers: dict[
            FaultKind,
            Callable[[Fault], Coroutine[Any, Any, None]],
        ] = {
            FaultKind.VM_KILLED: self._kill_vm,
            FaultKind.VM_STOPPED: self._stop_vm,
            FaultKind.VM_PAUSED: self._pause_vm,
            FaultKind.VM_HUNG_UP: self._send_sighup,
            FaultKind.STORE_REFUSES_VM: self._fail_store_for_vm,
            FaultKind.SERVER_SLOW: self._slow_server,
            FaultKind.SERVER_FAILS: self._fail_server,
            FaultKind.SERVER_LEAVES: self._replace_server,
            FaultKind.LINK_CUT: self._reset_link,
            FaultKind.LINK_SILENT: self._black_hole_link,
            FaultKind.LINK_SLOW: self._delay_link,
            FaultKind.LINK_LOSES_ANSWERS: self._lose_responses,
            FaultKind.TABLES_CHANGE: self._change_tables,
            FaultKind.VM_LINKS_CUT: lambda fault: cut_links(self.fleet, fault),
            FaultKind.DEADLY_REQUEST: lambda fault: play_deadly(
                self.fleet, fault
            ),
            FaultKind.CROWD: lambda fault: play_crowd(
                self._disturb_vm(fault, fault.duration_seconds),
                fault.duration_seconds,
            ),
            **dict.fromkeys(
                STATEMENT_KINDS,
                lambda fault: play_statement(
                    self._target_server(fault).server, fault
                ),
            ),
        }
        await handlers.get(fault.kind, self._fail_store)(fault)

    def _disturb_vm(self, fault: Fault, seconds: float) -> VmProcess:
        vm = self.fleet.vms[fault.target_index % len(self.fleet.vms)]
        until = _now() + seconds + _AFTEREFFECT_SECONDS
        vm.disturbed_until = max(vm.disturbed_until, until)
        return vm

    def _target_server(self, fault: Fault) -> SoakServer:
        return self.fleet.servers[fault.target_index % len(self.fleet.servers)]

    async def _kill_vm(self, fault: Fault) -> None:
        vm = self._disturb_vm(fault, _RESTART_DELAY_SECONDS + STARTUP_SECONDS)
        vm.killed_at.append(_now())
        vm.kill()
        await asyncio.sleep(_RESTART_DELAY_SECONDS)
        vm.start()

    async def _stop_vm(self, fault: Fault) -> None:
        vm = self._disturb_vm(fault, _STOP_TIMEOUT_SECONDS + STARTUP_SECONDS)
        if vm.stopping_since is not None:
            return
        vm.stopping_since = _now()
        vm.signal(signal.SIGTERM)
        while vm.is_running():
            if _now() - vm.stopping_since > _STOP_TIMEOUT_SECONDS:
                vm.killed_at.append(_now())
                vm.kill()
            await asyncio.sleep(0.05)
        await asyncio.sleep(_RESTART_DELAY_SECONDS)
        if not vm.is_running():
            vm.start()

    async def _pause_vm(self, fault: Fault) -> None:
        vm = self._disturb_vm(fault, fault.duration_seconds)
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_seconds)
        vm.signal(signal.SIGCONT)

    async def _send_sighup(self, fault: Fault) -> None:
        self._disturb_vm(fault, 0).signal(signal.SIGHUP)

    async def _fail_store(self, fault: Fault) -> None:
        until = _now() + fault.duration_seconds + _AFTEREFFECT_SECONDS
        self.fleet.store_disturbed_until = max(
            self.fleet.store_disturbed_until, until
        )
        if fault.kind is FaultKind.STORE_GOES_BACK:
            await go_back(self.fleet.store, fault.duration_seconds)
            return
        self.fleet.store.faults[''] = _STORE_FAULTS[fault.kind]
        await asyncio.sleep(fault.duration_seconds)
        self.fleet.store.faults.pop('', None)

    async def _fail_store_for_vm(self, fault: Fault) -> None:
        vm = self._disturb_vm(fault, fault.duration_seconds)
        self.fleet.store.faults[vm.host] = StoreFault.BUSY
        await asyncio.sleep(fault.duration_seconds)
        self.fleet.store.faults.pop(vm.host, None)

    async def _slow_server(self, fault: Fault) -> None:
        server = self._target_server(fault).server
        server.slowness = _SLOWNESS_FACTOR
        await asyncio.sleep(fault.duration_seconds)
        server.slowness = 1.0

    async def _fail_server(self, fault: Fault) -> None:
        server = self._target_server(fault).server
        kind = _SERVER_FAULTS[fault.target_index % len(_SERVER_FAULTS)]
        server.default_fault = kind
        await asyncio.sleep(fault.duration_seconds)
        server.default_fault = None

    async def _replace_server(self, fault: Fault) -> None:
        """Drain a server, add another, and unregister the drained one."""
        if len(self.fleet.servers) <= 2:
            return
        soak_server = self.fleet.servers.pop(
            fault.target_index % len(self.fleet.servers)
        )
        self.fleet.servers_that_left.append(soak_server)
        self.fleet.register(soak_server, 'draining')
        soak_server.left_at = _now()
        await self.fleet.add_server()
        await asyncio.sleep(_DRAIN_SECONDS)
        self.fleet.store.remove(server_key(soak_server.server.name))

    async def _reset_link(self, fault: Fault) -> None:
        self._target_server(fault).proxy.reset_all_connections()

    async def _set_link_fault(
        self, fault: Fault, link_fault: LinkFault
    ) -> None:
        soak_server = self._target_server(fault)
        soak_server.link_fault = link_fault
        await asyncio.sleep(fault.duration_seconds)
        soak_server.link_fault = NoFault()

    async def _black_hole_link(self, fault: Fault) -> None:
        await self._set_link_fault(fault, BlackHole())

    async def _delay_link(self, fault: Fault) -> None:
        await self._set_link_fault(fault, DelayAnswer(_RESPONSE_DELAY_SECONDS))

    async def _lose_responses(self, fault: Fault) -> None:
        await self._set_link_fault(fault, LoseAnswer())

    async def _change_tables(self, fault: Fault) -> None:
        """Add a route, or remove the oldest of the added routes."""
        now = _now()
        if self.fleet.added_routes and fault.target_index % 2:
            name = next(iter(self.fleet.added_routes))
            self.fleet.added_routes.pop(name)
            self.fleet.removed_routes[name] = now
        else:
            self.fleet.added_routes[f'added-{self.fleet.version}'] = now
        self.fleet.write_tables()


def _now() -> float:
    return asyncio.get_running_loop().time()
