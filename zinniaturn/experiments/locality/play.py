"""Plays load on VMs and servers in several data centres, and measures it."""

__all__ = ('STEPS_PER_SECOND', 'Play', 'PlayResult')

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import combinations
from statistics import fmean
from typing import Any

from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.experiments.locality.model_server import (
    ModelServer,
    ServerTraits,
)
from zinniaturn.experiments.locality.model_vm import (
    POOL,
    SERVICE_SECONDS,
    ModelVm,
    Network,
)
from zinniaturn.experiments.locality.virtual_loop import VirtualLoop
from zinniaturn.fleet.domain import VmRecord
from zinniaturn.fleet.tables import FleetRoute
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.http1.messages import Request

_SERVICE_SECONDS = 0.2
_BEST_SLOTS = 2
_OBJECTIVE_SECONDS = 0.5
_DEADLINE_SECONDS = 2.0
_ROUTES = tuple(
    FleetRoute(
        name,
        POOL.name,
        idempotent=True,
        objective_seconds=_OBJECTIVE_SECONDS,
        deadline_seconds=_DEADLINE_SECONDS,
    )
    for name in SERVICE_SECONDS
)
_BODIES = (bytes(1200), bytes(200_000))
_DOWNLOAD_SHARE = 0.15
_VM_CAPACITY = 200
_WARM_UP_SECONDS = 1.5
STEPS_PER_SECOND = 20


@dataclass
class PlayResult:
    """
    What became of the requests after the warm-up.

    ``leaving`` counts the bytes by whether they came from another data centre.
    ``steps`` tells of each request whether it left, by data centre and step of
    50 ms.
    """

    latencies: list[float] = field(default_factory=list)
    refused: int = 0
    late: int = 0
    leaving: Counter[str] = field(default_factory=Counter)
    steps: dict[tuple[str, int], list[bool]] = field(default_factory=dict)
    most_probes_per_second: float = 0
    probes: int = 0

    @property
    def mean_ms(self) -> float:
        """Return the mean latency in milliseconds."""
        return fmean(self.latencies) * 1000

    @property
    def p99_ms(self) -> float:
        """Return the 99th percentile of latencies in milliseconds."""
        return sorted(self.latencies)[int(len(self.latencies) * 0.99)] * 1000

    @property
    def refused_share(self) -> float:
        """Return the share of requests that were refused."""
        return self.refused / (self.refused + len(self.latencies))

    @property
    def late_share(self) -> float:
        """Return the share of requests answered past their objective."""
        return self.late / (self.refused + len(self.latencies))

    @property
    def bytes_share(self) -> float:
        """Return the share of bytes that came from other data centres."""
        away = self.leaving['away_bytes']
        return away / max(1, away + self.leaving['home_bytes'])

    @property
    def request_share(self) -> float:
        """Return the share of requests served in other data centres."""
        away = self.leaving['away']
        return away / max(1, away + self.leaving['home'])

    def summary(self) -> dict[str, float]:
        """Return the figures of a table's row."""
        return {
            'mean_ms': round(self.mean_ms, 1),
            'p99_ms': round(self.p99_ms),
            'refused': round(self.refused_share, 4),
            'late': round(self.late_share, 4),
            'bytes': round(self.bytes_share, 3),
            'requests': round(self.request_share, 3),
            'probes_per_s': round(self.most_probes_per_second, 1),
        }


@dataclass
class Play:
    """
    VMs in each data centre whose callers send at a steady mean rate.

    ``servers`` and ``callers`` are numbers and shares by data centre. ``load``
    is a share of what all servers can serve with the concurrency of highest
    throughput. ``settings`` are those of the VMs; ``prepare`` may change the
    model before the load begins.
    """

    servers: Mapping[str, int]
    load: float
    seconds: float = 6.0
    vms: int = 4
    callers: Mapping[str, float] | None = None
    way_seconds: float = 0.004
    seed: int = 1
    traits: dict[str, ServerTraits] = field(default_factory=dict)
    settings: dict[str, Any] = field(default_factory=dict)
    prepare: Callable[['Play'], None] | None = None
    dead_vm_share: float = 0
    result: PlayResult = field(default_factory=PlayResult)
    model_vms: list[ModelVm] = field(default_factory=list)
    model_servers: dict[str, ModelServer] = field(default_factory=dict)

    def run(self) -> PlayResult:
        """Return what became of the requests."""
        self.random_source = random.Random(self.seed)
        loop = VirtualLoop()
        try:
            loop.run_until_complete(self._play(loop))
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(1))
            loop.close()
        return self.result

    def vms_of(self, data_center: str) -> list[ModelVm]:
        """Return the VMs of a data centre."""
        return [
            vm for vm in self.model_vms if vm.record.data_center == data_center
        ]

    async def _play(self, loop: VirtualLoop) -> None:
        self._build(loop)
        self.began_at = loop.time()
        self.measured_from = loop.time() + _WARM_UP_SECONDS
        ends_at = self.measured_from + self.seconds
        if self.prepare is not None:
            self.prepare(self)
        tasks = [
            asyncio.ensure_future(self._call(vm, self._rate(vm), ends_at))
            for vm in self.model_vms
        ]
        loop.call_at(self.measured_from, self._reset_probes)
        await asyncio.gather(*tasks)
        counts = [server.probes for server in self.model_servers.values()]
        self.result.most_probes_per_second = max(counts) / self.seconds
        self.result.probes = sum(counts)
        await asyncio.sleep(_DEADLINE_SECONDS + 1)

    def _total_rate(self) -> float:
        slots = sum(self.servers.values()) * _BEST_SLOTS
        return self.load * slots / _SERVICE_SECONDS

    def _rate(self, vm: ModelVm) -> float:
        """Return the requests per second of a VM's callers."""
        data_center = vm.record.data_center
        if self.callers is None:
            share = 1 / len(self.servers)
        else:
            share = self.callers[data_center] / sum(self.callers.values())
        return self._total_rate() * share / len(self.vms_of(data_center))

    def _reset_probes(self) -> None:
        for server in self.model_servers.values():
            server.probes = 0

    def _build(self, loop: VirtualLoop) -> None:
        network = Network(
            self.random_source,
            {
                frozenset(pair): self.way_seconds
                * self.random_source.uniform(0.6, 1.4)
                for pair in combinations(self.servers, 2)
            },
        )
        self._add_servers()
        # Dead VMs are not known to the others any more.
        alive = [
            _build_record(data_center, number)
            for data_center in self.servers
            for number in range(round(self.vms * (1 - self.dead_vm_share)))
        ]
        load = round(self._total_rate() / len(alive))
        for record in alive:
            vm = ModelVm(
                record,
                self.model_servers,
                network,
                loop,
                random.Random(self.random_source.random()),
                **self.settings,
            )
            vm.hear(alive, load)
            self.model_vms.append(vm)

    def _add_servers(self) -> None:
        for data_center, count in self.servers.items():
            traits = self.traits.get(data_center, ServerTraits())
            for number in range(count):
                name = f'{data_center}-{number}'
                self.model_servers[name] = ModelServer(
                    name, data_center, traits, self.random_source
                )

    async def _call(self, vm: ModelVm, rate: float, until: float) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.random_source.expovariate(rate))
            if loop.time() >= until:
                return
            is_download = self.random_source.random() < _DOWNLOAD_SHARE
            task = loop.create_task(
                self._request(vm, _ROUTES[is_download], _BODIES[is_download])
            )
            task.add_done_callback(_check)

    async def _request(
        self, vm: ModelVm, route: FleetRoute, body: bytes
    ) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        context = RequestContext(
            Request(b'GET', b'/', [], body, True, now),
            '',
            route,
            POOL,
            now,
            now + _DEADLINE_SECONDS,
            True,
        )
        vm.state.note_request(POOL.name, now)
        is_counted = now >= self.measured_from
        try:
            async with asyncio.timeout_at(context.deadline):
                await vm.runner.run(context)
        except (RejectedError, TimeoutError):
            self.result.refused += is_counted
            return
        seconds = loop.time() - now
        server = self.model_servers[context.responding_server]
        is_away = server.data_center != vm.record.data_center
        moment = int((now - self.began_at) * STEPS_PER_SECOND)
        step = vm.record.data_center, moment
        self.result.steps.setdefault(step, []).append(is_away)
        if not is_counted:
            return
        self.result.latencies.append(seconds)
        self.result.late += seconds > _OBJECTIVE_SECONDS
        side = 'away' if is_away else 'home'
        self.result.leaving[side] += 1
        self.result.leaving[f'{side}_bytes'] += len(body)


def _build_record(data_center: str, number: int) -> VmRecord:
    name = f'vm-{data_center}-{number}'
    return VmRecord(name, data_center, f'{name}:80', (name, 1), _VM_CAPACITY)


def _check(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled() and task.exception() is not None:
        raise AssertionError(task.exception()) from task.exception()
