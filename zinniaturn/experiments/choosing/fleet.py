"""
Processes of a server choice experiment: store, backend servers and entries.

All run as real processes that listen on loopback.
"""

__all__ = ('ChoosingFleet',)

import asyncio
from collections.abc import Mapping
from pathlib import Path

import aiohttp
import msgspec

from zinniaturn.configuration import (
    apply_pools,
    apply_routes,
    commit,
    read_tables,
)
from zinniaturn.experiments.choosing.plan import ORACLE_POLICY, Plan, Workload
from zinniaturn.experiments.exceptions import ExperimentError
from zinniaturn.experiments.processes import ProcessGroup, free_port
from zinniaturn.standins.backend_faults import BackendFaults
from zinniaturn.standins.backend_group import GroupCounts, GroupFaults
from zinniaturn.store import HttpStore
from zinniaturn.tables import Pool, Route, Server

_POLL_INTERVAL_SECONDS = 0.05
_READY_TIMEOUT_SECONDS = 20.0
_MILLISECONDS_PER_SECOND = 1000


class ChoosingFleet:
    """
    Starts and controls a store, a city's backend servers and its entries.

    Each policy has its own pool over the same servers, so that it cannot use
    what another policy has observed.
    """

    def __init__(self, plan: Plan, log_folder: Path) -> None:
        self.plan = plan
        self.process_group = ProcessGroup(log_folder)
        self.store_port = free_port()
        self.control_ports = {
            workload.service: free_port() for workload in plan.workloads
        }
        self.entry_ports = [free_port() for _ in range(plan.city.entries)]
        self.admin_ports = [free_port() for _ in range(plan.city.entries)]
        self.server_ports: dict[str, dict[str, int]] = {}

    @property
    def entry_addresses(self) -> tuple[tuple[str, int], ...]:
        """Return the host and port of each entry."""
        return tuple(('127.0.0.1', port) for port in self.entry_ports)

    async def start(self) -> None:
        """Start all processes, commit the tables and wait for the entries."""
        await self.process_group.start(
            'store',
            'standin',
            'store',
            '--port',
            str(self.store_port),
        )
        for workload in self.plan.workloads:
            await self._start_backends(workload)
        for number, _ in enumerate(self.entry_ports):
            await self.start_entry(number)
        await self.process_group.wait_for_port('store', self.store_port)
        for service, port in self.control_ports.items():
            await self.process_group.wait_for_port(service, port)
            self.server_ports[service] = await _fetch_json(port, '/servers')
        await self._commit_tables()
        for port in self.admin_ports:
            await _wait_until_ready(port)

    async def start_entry(self, number: int) -> None:
        """Start an entry, or restart it after it has exited."""
        await self.process_group.start(
            f'entry-{number}',
            'entry',
            *self._entry_flags(number),
        )

    async def stop(self) -> None:
        """Kill every process."""
        await self.process_group.stop_all()

    async def set_faults(
        self,
        service: str,
        faults: Mapping[str, BackendFaults],
        *,
        oracle: bool = False,
    ) -> None:
        """Set a service's faults by server name and switch its oracle."""
        body = GroupFaults(faults=dict(faults), oracle=oracle)
        port = self.control_ports[service]
        async with aiohttp.ClientSession() as session:
            async with session.post(
                f'http://127.0.0.1:{port}/faults',
                data=msgspec.json.encode(body),
            ) as response:
                response.raise_for_status()

    async def read_counts(self) -> dict[str, GroupCounts]:
        """Return the counters of the backend servers by service."""
        counts: dict[str, GroupCounts] = {}
        for service, port in self.control_ports.items():
            counts[service] = msgspec.convert(
                await _fetch_json(port, '/counts'),
                GroupCounts,
            )
        return counts

    def server_names(self, service: str) -> list[str]:
        """Return the names of a service's servers."""
        return sorted(self.server_ports[service])

    async def _start_backends(self, workload: Workload) -> None:
        city = self.plan.city
        delay_ms = city.data_center_delay_seconds * _MILLISECONDS_PER_SECOND
        flags = {
            '--port': self.control_ports[workload.service],
            '--count': workload.servers,
            '--slots': workload.slots,
            '--delay-ms': delay_ms,
            '--connect-ms': city.connect_seconds * _MILLISECONDS_PER_SECOND,
            '--seed': self.plan.seed,
        }
        await self.process_group.start(
            workload.service,
            'standin',
            'backends',
            workload.service,
            *_flag_arguments(flags),
        )

    def _entry_flags(self, number: int) -> list[str]:
        plan = self.plan
        overrides = [
            f'{workload.service}-{policy}={entry_policy(policy)}'
            for workload in plan.workloads
            for policy in plan.policies
        ]
        return _flag_arguments(
            {
                '--name': f'entry-{number}',
                '--data-center': f'dc-{number % plan.city.data_centers}',
                '--port': self.entry_ports[number],
                '--admin-port': self.admin_ports[number],
                '--store-url': f'http://127.0.0.1:{self.store_port}',
                '--policy': ','.join(('random', *overrides)),
                '--measuring-lease-seconds': plan.measuring_lease_seconds,
                # Times 1000, so that the seeds of different runs don't overlap.
                '--seed': plan.seed * _MILLISECONDS_PER_SECOND + number,
                '--log-level': 'WARNING',
            },
        )

    async def _commit_tables(self) -> None:
        store = HttpStore(f'http://127.0.0.1:{self.store_port}')
        try:
            base = await read_tables(store)
            tables = apply_pools(base.tables, self._build_pools())
            await commit(
                store, base, apply_routes(tables, self._build_routes())
            )
        finally:
            await store.close()

    def _build_pools(self) -> list[Pool]:
        plan = self.plan
        return [
            Pool(
                name=f'{workload.service}-{policy}',
                servers=tuple(
                    Server(name, '127.0.0.1', port, workload.slots)
                    for name, port in self.server_ports[
                        workload.service
                    ].items()
                ),
                measuring_budget=(
                    plan.measuring_budget
                    if policy in plan.budget_policies
                    else 0
                ),
            )
            for workload in plan.workloads
            for policy in plan.policies
        ]

    def _build_routes(self) -> list[Route]:
        return [
            Route(pool.name, pool.name, path_prefix=f'/{pool.name}/')
            for pool in self._build_pools()
        ]


def entry_policy(policy: str) -> str:
    """
    Return the policy that the entries are configured with.

    With the oracle the simulated servers choose, so the entries' policy does
    not matter.
    """
    return 'random' if policy == ORACLE_POLICY else policy


def _flag_arguments(flags: Mapping[str, object]) -> list[str]:
    return [str(argument) for pair in flags.items() for argument in pair]


async def _fetch_json(port: int, path: str) -> dict:
    async with aiohttp.ClientSession() as session:
        async with session.get(f'http://127.0.0.1:{port}{path}') as response:
            response.raise_for_status()
            return msgspec.json.decode(await response.read())


async def _wait_until_ready(port: int) -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _READY_TIMEOUT_SECONDS
    while loop.time() < deadline:
        try:
            await _fetch_json(port, '/ready')
        except aiohttp.ClientError:
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
            continue
        return
    raise ExperimentError(f'the entry at port {port} is not ready')
