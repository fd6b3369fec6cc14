"""Planned work on a fleet, drawn from a seed, alone and overlapping."""

__all__ = ('PlannedWork', 'WorkNote')

import asyncio
import itertools
import json
import random
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from zinniaturn.experiments.soak.fleet import SoakFleet
from zinniaturn.experiments.soak.vms import VmProcess
from zinniaturn.platform.standins.wire import server_key

_GAPS_SECONDS = (0.05, 0.2, 0.6, 1.5)
_GRACE_SECONDS = 6.0
_RESTART_SECONDS = 0.4
_DRAIN_SECONDS = 2.5
_MOST_STOPPED = 2
_LEAST_SERVERS = 6


@dataclass(frozen=True, slots=True)
class WorkNote:
    """Work that began at a time of the event loop; ``vm`` may be empty."""

    at: float
    name: str
    vm: str = ''


@dataclass(slots=True)
class PlannedWork:
    """Does work on the VMs, tables and servers of a fleet until cancelled."""

    fleet: SoakFleet
    random_source: random.Random
    notes: list[WorkNote] = field(default_factory=list)
    stopping: set[str] = field(default_factory=set)
    tasks: 'set[asyncio.Task[None]]' = field(default_factory=set)
    settings_counter: 'itertools.count[int]' = field(
        default_factory=lambda: itertools.count(60)
    )

    async def run(self) -> None:
        """Begin one piece of work after the other; some overlap."""
        kinds: tuple[Callable[[], Coroutine[None, None, None]], ...] = (
            self._replace_process,
            self._replace_process,
            self._reload_settings,
            self._change_tables,
            self._replace_server,
        )
        while True:
            task = asyncio.ensure_future(self.random_source.choice(kinds)())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.random_source.choice(_GAPS_SECONDS))

    async def _replace_process(self) -> None:
        """Stop a VM's process with SIGTERM and start the next one."""
        vm = self.random_source.choice(self.fleet.vms)
        if vm.name in self.stopping or len(self.stopping) >= _MOST_STOPPED:
            return
        self.stopping.add(vm.name)
        self._note('SIGTERM', vm)
        vm.signal(signal.SIGTERM)
        until = _now() + _GRACE_SECONDS
        while vm.is_running() and _now() < until:
            await asyncio.sleep(0.02)
        if vm.is_running():
            self._note('SIGKILL', vm)
            vm.kill()
        await asyncio.sleep(_RESTART_SECONDS)
        vm.start()
        self._note('start', vm)
        await asyncio.sleep(_RESTART_SECONDS * 2)
        self.stopping.discard(vm.name)

    async def _reload_settings(self) -> None:
        """Change a VM's settings, with SIGHUP."""
        vm = self.random_source.choice(self.fleet.vms)
        settings = json.loads(vm.settings_path.read_text())
        settings['bounds']['probes_per_s'] = next(self.settings_counter)
        vm.settings_path.write_text(json.dumps(settings))
        self._note('SIGHUP', vm)
        vm.signal(signal.SIGHUP)

    async def _change_tables(self) -> None:
        """Write a few versions in quick succession."""
        for _ in range(self.random_source.randint(1, 4)):
            self._note('tables')
            self.fleet.write_tables()
            await asyncio.sleep(0.05)

    async def _replace_server(self) -> None:
        """Add a server and let another one leave."""
        self._note('server joins')
        await self.fleet.add_server()
        if len(self.fleet.servers) <= _LEAST_SERVERS:
            return
        leaving = self.fleet.servers.pop(0)
        self.fleet.servers_that_left.append(leaving)
        self._note('server leaves')
        self.fleet.register(leaving, 'draining')
        await asyncio.sleep(_DRAIN_SECONDS)
        self.fleet.store.remove(server_key(leaving.server.name))

    def _note(self, name: str, vm: VmProcess | None = None) -> None:
        self.notes.append(WorkNote(_now(), name, '' if vm is None else vm.name))


def _now() -> float:
    return asyncio.get_running_loop().time()
