"""The faults of a plan, brought about from outside."""

__all__ = ('FaultMaker',)

import asyncio
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from zinniaturn.experiments.soak.fleet import (
    START_SECONDS,
    SoakFleet,
    SoakServer,
)
from zinniaturn.experiments.soak.plan import Fault, FaultKind
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

_TOUCH_SECONDS = 3.0
_RESTART_SECONDS = 0.4
_STOP_SECONDS = 7.0
_DELAY_SECONDS = 0.15
_GONE_SECONDS = 3.0
_SLOWNESS = 5.0
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
class FaultMaker:
    """Does faults to a fleet."""

    fleet: SoakFleet
    tasks: set['asyncio.Task[None]'] = field(default_factory=set)

    def do(self, fault: Fault) -> None:
        """Begin a fault; it ends by itself."""
        task = asyncio.ensure_future(self._do(fault))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """End the faults that go on."""
        for task in self.tasks:
            task.cancel()

    async def _do(self, fault: Fault) -> None:
        acts: dict[
            FaultKind,
            Callable[[Fault], Coroutine[Any, Any, None]],
        ] = {
            FaultKind.VM_KILLED: self._kill_vm,
            FaultKind.VM_STOPPED: self._stop_vm,
            FaultKind.VM_PAUSED: self._pause_vm,
            FaultKind.VM_HUNG_UP: self._hang_up,
            FaultKind.STORE_REFUSES_VM: self._refuse_vm,
            FaultKind.SERVER_SLOW: self._slow_server,
            FaultKind.SERVER_FAILS: self._fail_server,
            FaultKind.SERVER_LEAVES: self._leave,
            FaultKind.LINK_CUT: self._cut_link,
            FaultKind.LINK_SILENT: self._silence_link,
            FaultKind.LINK_SLOW: self._delay_link,
            FaultKind.LINK_LOSES_ANSWERS: self._lose_answers,
            FaultKind.TABLES_CHANGE: self._change_tables,
        }
        await acts.get(fault.kind, self._break_store)(fault)

    def _vm(self, fault: Fault, seconds: float) -> VmProcess:
        vm = self.fleet.vms[fault.target % len(self.fleet.vms)]
        until = _now() + seconds + _TOUCH_SECONDS
        vm.disturbed_until = max(vm.disturbed_until, until)
        return vm

    def _server(self, fault: Fault) -> SoakServer:
        return self.fleet.servers[fault.target % len(self.fleet.servers)]

    async def _kill_vm(self, fault: Fault) -> None:
        vm = self._vm(fault, _RESTART_SECONDS + START_SECONDS)
        vm.killed_at.append(_now())
        vm.kill()
        await asyncio.sleep(_RESTART_SECONDS)
        vm.start()

    async def _stop_vm(self, fault: Fault) -> None:
        vm = self._vm(fault, _STOP_SECONDS + START_SECONDS)
        if vm.stopping_since is not None:
            return
        vm.stopping_since = _now()
        vm.signal(signal.SIGTERM)
        while vm.is_running():
            if _now() - vm.stopping_since > _STOP_SECONDS:
                vm.killed_at.append(_now())
                vm.kill()
            await asyncio.sleep(0.05)
        await asyncio.sleep(_RESTART_SECONDS)
        if not vm.is_running():
            vm.start()

    async def _pause_vm(self, fault: Fault) -> None:
        vm = self._vm(fault, fault.seconds)
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        vm.signal(signal.SIGCONT)

    async def _hang_up(self, fault: Fault) -> None:
        self._vm(fault, 0).signal(signal.SIGHUP)

    async def _break_store(self, fault: Fault) -> None:
        until = _now() + fault.seconds + _TOUCH_SECONDS
        self.fleet.store_disturbed_until = max(
            self.fleet.store_disturbed_until, until
        )
        self.fleet.store.faults[''] = _STORE_FAULTS[fault.kind]
        await asyncio.sleep(fault.seconds)
        self.fleet.store.faults.pop('', None)

    async def _refuse_vm(self, fault: Fault) -> None:
        vm = self._vm(fault, fault.seconds)
        self.fleet.store.faults[vm.host] = StoreFault.BUSY
        await asyncio.sleep(fault.seconds)
        self.fleet.store.faults.pop(vm.host, None)

    async def _slow_server(self, fault: Fault) -> None:
        server = self._server(fault).server
        server.slowness = _SLOWNESS
        await asyncio.sleep(fault.seconds)
        server.slowness = 1.0

    async def _fail_server(self, fault: Fault) -> None:
        server = self._server(fault).server
        kind = _SERVER_FAULTS[fault.target % len(_SERVER_FAULTS)]
        server.default_fault = kind
        await asyncio.sleep(fault.seconds)
        server.default_fault = None

    async def _leave(self, fault: Fault) -> None:
        """Drain a server, take it away, and add another."""
        if len(self.fleet.servers) <= 2:
            return
        each = self.fleet.servers.pop(fault.target % len(self.fleet.servers))
        self.fleet.gone.append(each)
        self.fleet.register(each, 'draining')
        each.left_at = _now()
        await self.fleet.add_server()
        await asyncio.sleep(_GONE_SECONDS)
        self.fleet.store.remove(server_key(each.server.name))

    async def _cut_link(self, fault: Fault) -> None:
        self._server(fault).proxy.reset_all_connections()

    async def _set_link(self, fault: Fault, mode: LinkFault) -> None:
        each = self._server(fault)
        each.mode = mode
        await asyncio.sleep(fault.seconds)
        each.mode = NoFault()

    async def _silence_link(self, fault: Fault) -> None:
        await self._set_link(fault, BlackHole())

    async def _delay_link(self, fault: Fault) -> None:
        await self._set_link(fault, DelayAnswer(_DELAY_SECONDS))

    async def _lose_answers(self, fault: Fault) -> None:
        await self._set_link(fault, LoseAnswer())

    async def _change_tables(self, fault: Fault) -> None:
        """Add a route, or remove the oldest of those that were added."""
        now = _now()
        if self.fleet.routes and fault.target % 2:
            name = next(iter(self.fleet.routes))
            self.fleet.routes.pop(name)
            self.fleet.removed[name] = now
        else:
            self.fleet.routes[f'added-{self.fleet.version}'] = now
        self.fleet.write_tables()


def _now() -> float:
    return asyncio.get_running_loop().time()
