"""
Model of servers that requests end, and of the VMs before them, in virtual time.

The verdicts, what VMs tell each other of crashes and the gossip are the
product's own code. Played are the network, the servers, the callers, and a
request's way to a server: it is retried once, as the gateway does.
"""

__all__ = ('CrashModel',)

import itertools
import random
from collections import Counter
from collections.abc import Callable

from zinniaturn.experiments.crash_parts import (
    GuiltySend,
    ModelRequest,
    ModelServer,
)
from zinniaturn.experiments.gossip_model import GossipModel, ModelVm
from zinniaturn.quarantine.crash_record import CrashRecord, ServerProcess
from zinniaturn.quarantine.request_key import RequestKey
from zinniaturn.quarantine.separation import preferred_servers
from zinniaturn.quarantine.table import Ruling
from zinniaturn.quarantine.witnessing import is_contradicted, needs_witness

_SEND_SECONDS = 0.001
_WORK_SECONDS = 0.16
_CRASH_SECONDS = 0.05
_DOWN_SECONDS = 3.3
_CHECK_SECONDS = 0.002
_RETURN_SECONDS = 0.3
_UNDECIDED_SECONDS = 0.05
_MOST_ATTEMPTS = 2
_MOST_RETURNS = 1


class CrashModel:
    """
    A fleet before a pool of servers.

    ``guilty`` are the requests that end servers, each with the share of its
    runs that do. ``sends`` lists theirs, ``crashes`` the times at which each
    has ended a server. ``rejected`` counts the rejections of all requests by
    key, ``served`` and ``failed`` those of innocent ones. A VM in ``erring``
    takes each server for ended whose connection breaks.
    """

    def __init__(
        self, size: int, servers: int, seed: int, loss: float = 0
    ) -> None:
        self.fleet = GossipModel(size, seed, loss)
        self.random_source = random.Random(seed)
        self.servers = [ModelServer(f's-{one}') for one in range(servers)]
        self.guilty: dict[RequestKey, float] = {}
        self.sends: list[GuiltySend] = []
        self.crashes: dict[RequestKey, list[float]] = {}
        self.rejected: Counter[RequestKey] = Counter()
        self.served = 0
        self.failed = 0
        self.erring: set[str] = set()
        self.fresh_keys = itertools.count(10**6)
        for vm in self.fleet.vms:
            self._follow(vm)

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self.fleet.clock.monotonic()

    def add_stream(
        self, rate: float, next_key: Callable[[], RequestKey | None]
    ) -> None:
        """Let callers send requests at a rate, at any VM, until no key."""
        key = next_key()
        if key is None:
            return
        running = self.fleet.running()
        if running:
            vm = self.random_source.choice(running)
            self._start(vm, ModelRequest(key))
        self.fleet.schedule(
            self.random_source.expovariate(rate),
            lambda: self.add_stream(rate, next_key),
        )

    def fresh_key(self) -> RequestKey:
        """Return the key of a request that comes once."""
        return next(self.fresh_keys)

    def end_servers(self, servers: list[ModelServer], seconds: float) -> None:
        """Let servers end together for a reason of their own."""
        for server in servers:
            if server.is_up:
                self._end(server, seconds)

    def break_connections(self, server: ModelServer) -> None:
        """Break the connections of a server that goes on running."""
        running = server.running
        server.running = {}
        for request, vm in running.items():
            self._break(vm, request, server, server.process)

    def restart_vm(self, vm: ModelVm, seconds: float) -> None:
        """Kill a VM and start it again; it forgets all that it knew."""
        self.fleet.kill([vm])
        version = vm.gossip.vms.own_status.version + 1

        def start() -> None:
            self.fleet.restart(vm, version)
            self._follow(vm)

        self.fleet.schedule(seconds, start)

    def _follow(self, vm: ModelVm) -> None:
        """Check what other VMs tell a VM of crashes, as the gateway does."""
        gossip = vm.gossip

        def check_told(record: CrashRecord) -> None:
            server = self._server(record.process)
            if server is None:
                return
            responded_at = server.responded_at.get(vm.name, 0)
            if is_contradicted(record, responded_at):
                self._contradict(vm, record)
            elif needs_witness(
                record,
                vm.name,
                len(gossip.vms.alive_vms()),
                self.random_source.random(),
            ):
                self.fleet.schedule(
                    _CHECK_SECONDS,
                    lambda: self._check(
                        vm, server, record.process, record.ended_at, set()
                    ),
                )

        gossip.crash_news.on_crash = check_told

    def _contradict(self, vm: ModelVm, record: CrashRecord) -> None:
        vm.gossip.crash_news.report_crash(
            CrashRecord(record.process, record.ended_at, is_refuted=True)
        )

    def _server(self, process: ServerProcess) -> ModelServer | None:
        for server in self.servers:
            if server.process == process:
                return server
        return None

    def _start(self, vm: ModelVm, request: ModelRequest) -> None:
        """Send a request to a server if the VM may."""
        if not self._can_run(vm):
            return
        quarantine = vm.gossip.quarantine
        ruling = Ruling.RUN
        if not quarantine.is_empty:
            ruling = quarantine.ruling(request.key)
        if ruling is Ruling.REJECT:
            self.rejected[request.key] += 1
            return
        if ruling is Ruling.WAIT:
            self.fleet.schedule(
                _UNDECIDED_SECONDS, lambda: self._start(vm, request)
            )
            return
        usable = [
            one
            for one in self.servers
            if one.is_up and one.name not in request.tried
        ]
        if not usable:
            self._fail(request)
            return
        if ruling is Ruling.RUN_ALONE:
            names = preferred_servers(
                request.key, [server.name for server in usable], count=1
            )
            usable = [server for server in usable if server.name in names]
        server = self.random_source.choice(usable)
        request.tried.append(server.name)
        if request.key in self.guilty:
            self.sends.append(GuiltySend(request.key, vm.name, self.now))
        process = server.process
        self.fleet.schedule(
            _SEND_SECONDS, lambda: self._arrive(vm, request, server, process)
        )

    def _arrive(
        self,
        vm: ModelVm,
        request: ModelRequest,
        server: ModelServer,
        process: ServerProcess,
    ) -> None:
        if not server.is_up or server.process != process:
            self._start(vm, request)
            return
        server.running[request] = vm
        chance = self.guilty.get(request.key, 0)
        if self.random_source.random() < chance:
            self.fleet.schedule(
                _CRASH_SECONDS,
                lambda: self._crash(request, server, process),
            )
        self.fleet.schedule(
            _WORK_SECONDS * self.random_source.uniform(0.7, 1.5),
            lambda: self._complete(vm, request, server, process),
        )

    def _crash(
        self,
        request: ModelRequest,
        server: ModelServer,
        process: ServerProcess,
    ) -> None:
        if server.is_up and server.process == process:
            self.crashes.setdefault(request.key, []).append(self.now)
            self._end(server, _DOWN_SECONDS)

    def _end(self, server: ModelServer, seconds: float) -> None:
        process = server.process
        server.is_up = False
        running = server.running
        server.running = {}
        for request, vm in running.items():
            self._break(vm, request, server, process)

        def restart() -> None:
            server.starts += 1
            server.is_up = True

        self.fleet.schedule(seconds, restart)

    def _break(
        self,
        vm: ModelVm,
        request: ModelRequest,
        server: ModelServer,
        process: ServerProcess,
    ) -> None:
        """Let a VM see that a connection broke, and what it does then."""
        broken_at = self.now + _SEND_SECONDS

        def check() -> None:
            if not self._can_run(vm):
                return
            self._check(vm, server, process, broken_at, {request.key})
            self._retry(vm, request)

        self.fleet.schedule(_SEND_SECONDS + _CHECK_SECONDS, check)

    def _check(
        self,
        vm: ModelVm,
        server: ModelServer,
        process: ServerProcess,
        ended_at: float,
        keys: set[RequestKey],
    ) -> None:
        has_ended = server.process != process or not server.is_up
        if self._can_run(vm) and (has_ended or vm.name in self.erring):
            vm.gossip.crash_news.report_crash(
                CrashRecord(process, ended_at, keys, {vm.name})
            )

    def _retry(self, vm: ModelVm, request: ModelRequest) -> None:
        ruling = vm.gossip.quarantine.ruling(request.key)
        if len(request.tried) < _MOST_ATTEMPTS and ruling is Ruling.RUN:
            self._start(vm, request)
        elif request.returns < _MOST_RETURNS:
            again = ModelRequest(request.key, returns=request.returns + 1)
            other = self.random_source.choice(self.fleet.running() or [vm])
            self.fleet.schedule(
                _RETURN_SECONDS, lambda: self._start(other, again)
            )
        else:
            self._fail(request)

    def _complete(
        self,
        vm: ModelVm,
        request: ModelRequest,
        server: ModelServer,
        process: ServerProcess,
    ) -> None:
        if server.running.pop(request, None) is None:
            return
        if server.process != process or not self._can_run(vm):
            return
        server.responded_at[vm.name] = self.now
        if not vm.gossip.quarantine.is_empty:
            vm.gossip.crash_news.report_completion(request.key)
        if request.key not in self.guilty:
            self.served += 1

    def _fail(self, request: ModelRequest) -> None:
        if request.key not in self.guilty:
            self.failed += 1

    def _can_run(self, vm: ModelVm) -> bool:
        return vm.is_running and vm.paused_until <= self.now
