"""
Model of servers with limits and of the VMs that share them, in virtual time.

The permits, the notices and the gossip are the product's own code. Played are
the network, the servers, the callers of each VM, and a request's way to a
server: it asks for permits as the gateway does and is dropped without one. The
probe before each send tells how long the server stays cold.
"""

__all__ = ('LimitModel', 'LimitedServer')

import math
import random
from bisect import bisect_left, bisect_right
from collections.abc import Collection
from dataclasses import dataclass, field
from functools import partial

from zinniaturn.admission.admission import Admission, ResponseKind
from zinniaturn.admission.statement import ServerStatement
from zinniaturn.admission.warm_up import WarmUpLimit
from zinniaturn.experiments.gossip_model import GossipModel, ModelVm

_SEND_SECONDS = 0.001
_WORK_SECONDS = 0.1
_REPLY_WAIT_SECONDS = 0.02
_GROUP_SIZES = (1, 2)
# A VM counts as told from this time after its first answer with a limit.
_TOLD_SECONDS = 0.5

# A VM's name and the number of its process.
Process = tuple[str, int]


@dataclass(slots=True)
class LimitedServer:
    """
    A server that states its limit in each response, or how long it is cold.

    ``arrivals`` are the times of its requests, in order, and ``told_arrivals``
    those of requests from processes that had got an answer with the limit half
    a second before. ``changes`` are the times and values of its limits, and
    ``told_at`` is when each process first got an answer with the present one.
    ``started_ms`` is the start of its own process, and ``known_starts`` those
    that the VMs know of. ``cold_spans`` are the begin and the end of each time
    in which it was cold.
    """

    name: str
    limit: float | None = None
    arrivals: list[float] = field(default_factory=list)
    told_arrivals: list[float] = field(default_factory=list)
    changes: list[tuple[float, float | None]] = field(default_factory=list)
    told_at: dict[Process, float] = field(default_factory=dict)
    started_ms: int = 1
    known_starts: dict[str, int] = field(default_factory=dict)
    cold_spans: list[tuple[float, float]] = field(default_factory=list)

    def cold_seconds(self, now: float) -> float:
        """Return for how long the server stays cold."""
        ends = (end for _, end in self.cold_spans)
        return max(0, max(ends, default=now) - now)

    def set_limit(self, limit: float | None, now: float) -> None:
        """Name another limit from now on."""
        self.limit = limit
        if limit is None:
            self.told_at.clear()
        self.changes.append((now, limit))

    def note_arrival(self, process: Process, now: float) -> None:
        """Count a request of a VM's process."""
        self.arrivals.append(now)
        told_at = self.told_at.get(process, math.inf)
        if told_at + _TOLD_SECONDS <= now:
            self.told_arrivals.append(now)

    def note_answer(self, process: Process, now: float) -> None:
        """Note that a process gets an answer."""
        if self.limit is not None:
            self.told_at.setdefault(process, now)

    def count(self, start: float, end: float) -> int:
        """Return the arrivals from ``start`` up to ``end``."""
        return bisect_right(self.arrivals, end) - bisect_left(
            self.arrivals, start
        )


class LimitModel:
    """
    A fleet before a pool of servers.

    ``rates`` are the callers' requests per second at each VM, by its name.
    ``warm_up`` is what cold servers take.
    """

    def __init__(
        self, size: int, servers: int, seed: int, loss: float = 0
    ) -> None:
        self.fleet = GossipModel(size, seed, loss)
        self.random_source = random.Random(seed)
        self.servers = [
            LimitedServer(f's-{number}') for number in range(servers)
        ]
        self.rates: dict[str, float] = {}
        self.warm_up: WarmUpLimit | None = None
        self.playing: set[str] = set()

    def set_rates(self, vms: Collection[ModelVm], total: float) -> None:
        """Let these VMs get all requests, and the others none."""
        self.rates = {vm.name: total / len(vms) for vm in vms}
        for vm in vms:
            if vm.name not in self.playing:
                self.playing.add(vm.name)
                self._schedule_arrival(vm)

    def name_limit(self, server: LimitedServer, limit: float | None) -> None:
        """Let a server name another limit."""
        server.set_limit(limit, self.fleet.clock.monotonic())

    def become_cold(self, server: LimitedServer, seconds: float) -> None:
        """Let a server's running process become cold."""
        now = self.fleet.clock.monotonic()
        server.cold_spans.append((now, now + seconds))

    def restart_server(
        self, server: LimitedServer, seconds: float, latest: float
    ) -> None:
        """
        Let a server begin again, cold.

        The VMs read its entry ``latest`` seconds later at the latest, and take
        what it tells as of when they read it.
        """
        self.become_cold(server, seconds)
        server.started_ms += 1
        for vm in self.fleet.vms:
            delay = self.random_source.uniform(0, latest)
            self.fleet.schedule(
                delay,
                partial(
                    self._read_entry, vm, server, server.started_ms, seconds
                ),
            )

    def _read_entry(
        self, vm: ModelVm, server: LimitedServer, started_ms: int, rest: float
    ) -> None:
        server.known_starts[vm.name] = started_ms
        now = self.fleet.clock.monotonic()
        self._admission(vm, server).note_cold(now + rest)

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.fleet.run(seconds)

    def _schedule_arrival(self, vm: ModelVm) -> None:
        rate = self.rates.get(vm.name, 0)
        if not rate:
            self.playing.discard(vm.name)
            return
        self.fleet.schedule(
            self.random_source.expovariate(rate), lambda: self._arrive(vm)
        )

    def _arrive(self, vm: ModelVm) -> None:
        self._schedule_arrival(vm)
        if not self._can_run(vm):
            return
        usable = [
            server
            for server in self.servers
            if self._admission(vm, server).withholding() is None
        ]
        if usable and self._send(vm, self.random_source.choice(usable)):
            return
        order = list(self.servers)
        self.random_source.shuffle(order)
        self._try_groups(vm, order, _GROUP_SIZES)

    def _try_groups(
        self,
        vm: ModelVm,
        order: list[LimitedServer],
        sizes: tuple[int, ...],
    ) -> None:
        """Request permits for the next group of servers, and use one."""
        if not sizes or not order or not self._can_run(vm):
            return
        group, rest = order[: sizes[0]], order[sizes[0] :]
        is_expected = False
        for server in group:
            admission = self._admission(vm, server)
            is_expected |= vm.gossip.permits.request(admission)

        def use_permit() -> None:
            for server in group:
                if self._can_run(vm) and self._send(vm, server):
                    return
            self._try_groups(vm, rest, sizes[1:])

        wait = _REPLY_WAIT_SECONDS if is_expected else 0
        self.fleet.schedule(wait, use_permit)

    def _send(self, vm: ModelVm, server: LimitedServer) -> bool:
        """Send a request after a probe, if the admission allows it."""
        self._probe(vm, server)
        if self._admission(vm, server).take() is None:
            return False
        process = vm.name, vm.starts
        sent_at = self.fleet.clock.monotonic()

        def arrive() -> None:
            now = self.fleet.clock.monotonic()
            server.note_arrival(process, now)
            self.fleet.schedule(_WORK_SECONDS, respond)

        def respond() -> None:
            if process == (vm.name, vm.starts) and vm.is_running:
                self._learn(vm, server, sent_at)

        self.fleet.schedule(_SEND_SECONDS, arrive)
        return True

    def _probe(self, vm: ModelVm, server: LimitedServer) -> None:
        now = self.fleet.clock.monotonic()
        seconds = server.cold_seconds(now)
        if seconds and self._admission(vm, server).learn(
            ServerStatement(warm_up_seconds=seconds), ResponseKind.PROBE, now
        ):
            vm.gossip.sender.pass_on_notice(server.name)

    def _learn(
        self, vm: ModelVm, server: LimitedServer, sent_at: float
    ) -> None:
        admission = self._admission(vm, server)
        server.note_answer((vm.name, vm.starts), self.fleet.clock.monotonic())
        changed = admission.learn(
            ServerStatement(limit=server.limit), ResponseKind.REQUEST, sent_at
        )
        vm.gossip.admissions.update_active(admission)
        if changed:
            vm.gossip.sender.pass_on_notice(server.name)

    def _admission(self, vm: ModelVm, server: LimitedServer) -> Admission:
        admission = vm.gossip.admissions.of_process(
            server.name, server.known_starts.get(vm.name, 1)
        )
        admission.warm_up = self.warm_up
        return admission

    def _can_run(self, vm: ModelVm) -> bool:
        is_paused = vm.paused_until > self.fleet.clock.monotonic()
        return vm.is_running and not is_paused
