"""Schedules measuring requests to servers within the measuring budget."""

__all__ = ('ProbeScheduler',)

import asyncio
import uuid
from dataclasses import dataclass, field

from zinniaturn.choosing import PoolState
from zinniaturn.entry.state import EntryState
from zinniaturn.probes import (
    MeasuringInterval,
    PermitHolder,
    ProbeError,
    Prober,
    measuring_interval_seconds,
)
from zinniaturn.store import ConfigurationStore
from zinniaturn.tables import Server

_REFRESHES_PER_LEASE = 4
_POLL_INTERVAL_SECONDS = 0.1


@dataclass(slots=True)
class ProbeTarget:
    """A server of a pool that this entry sends measuring requests to."""

    server: Server
    prober: Prober
    interval: MeasuringInterval = field(default_factory=MeasuringInterval)
    task: asyncio.Task[None] | None = None


class ProbeScheduler:
    """Holds measuring permits and measures the pools that they are for."""

    def __init__(self, state: EntryState, store: ConfigurationStore) -> None:
        self.state = state
        settings = state.settings
        self.permits = PermitHolder(
            store,
            state.clock,
            state.random_source,
            f'{settings.name}/{uuid.uuid4().hex}',
            settings.measuring_lease_seconds,
        )
        self.targets: dict[tuple[str, str], ProbeTarget] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start acquiring permits and measuring."""
        self.tasks = [
            asyncio.create_task(self._refresh_permits()),
            asyncio.create_task(self._measure_pools()),
        ]

    async def stop(self) -> None:
        """Stop measuring and release the permits."""
        targets = self.targets.values()
        measuring = [target.task for target in targets if target.task]
        tasks = self.tasks + measuring
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for target in self.targets.values():
            target.prober.close()
        await self.permits.release()

    async def _refresh_permits(self) -> None:
        interval_seconds = self.permits.ttl_seconds / _REFRESHES_PER_LEASE
        while True:
            budgets = {
                name: pool.pool.measuring_budget
                for name, pool in self.state.pools.items()
            }
            await self.permits.refresh(budgets)
            await asyncio.sleep(
                interval_seconds * self.state.random_source.uniform(0.5, 1)
            )

    async def _measure_pools(self) -> None:
        while True:
            for pool in list(self.state.pools.values()):
                if self.permits.may_measure(pool.pool.name):
                    self._measure_due(pool)
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    def _measure_due(self, pool: PoolState) -> None:
        now = self.state.clock.monotonic()
        for state in pool.servers_to_measure(now):
            target = self._target_of(pool, state.server)
            if target.interval.is_due(now):
                target.interval.begin()
                target.task = asyncio.create_task(self._measure(pool, target))

    def _target_of(self, pool: PoolState, server: Server) -> ProbeTarget:
        key = pool.pool.name, f'{server.host}:{server.port}'
        if key not in self.targets:
            self.targets[key] = ProbeTarget(
                server,
                Prober(self.state.connections),
            )
        return self.targets[key]

    async def _measure(self, pool: PoolState, target: ProbeTarget) -> None:
        name = pool.pool.name
        clock = self.state.clock
        sent_at = clock.monotonic()
        try:
            report = await target.prober.measure(
                target.server,
                lambda: self._may_send(name),
            )
        except ProbeError:
            pool.note_failed_measurement(target.server.name)
        else:
            if report is not None:
                pool.note_measurement(target.server.name, report, sent_at)
        finally:
            budget = pool.pool.measuring_budget
            now = clock.monotonic()
            target.interval.end(
                now, measuring_interval_seconds(budget) if budget else 1
            )

    def _may_send(self, pool: str) -> bool:
        allowed = self.permits.may_measure(pool)
        if allowed:
            self.state.metrics.count_measuring_request(pool)
        return allowed
