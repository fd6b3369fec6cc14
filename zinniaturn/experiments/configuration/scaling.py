"""Measurement of the control plane's cost per entry by fleet size."""

__all__ = ('run_scaling',)

import asyncio
import random
import time

import click
import msgspec

from zinniaturn.configuration.commit import commit, read_tables
from zinniaturn.configuration.edits import apply_routes
from zinniaturn.experiments.configuration.cost import Cost, CostMeter
from zinniaturn.experiments.configuration.fleet import ConfigurationFleet
from zinniaturn.experiments.configuration.operators import initial_tables
from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.store import HttpStore
from zinniaturn.tables.domain import Route

ENTRY_COUNTS = (13, 26, 52, 104)
CHANGES_PER_SECOND = 1.0
PHASE_SECONDS = 15.0

_START_BATCH_SIZE = 8
_SETTLE_SECONDS = 6.0


class PhaseReport(msgspec.Struct):
    """Cost per entry, and calls per second to the store from all entries."""

    entries: int
    phase: str
    bytes_per_s: float
    core_share: float
    rss_mb: float
    reads_per_s: float
    writes_per_s: float


def run_scaling(options: ExperimentOptions) -> int:
    """Measure fleets of several sizes, idle and with regular changes."""
    seconds = options.seconds or PHASE_SECONDS
    reports = []
    for entry_count in ENTRY_COUNTS:
        reports.extend(asyncio.run(_measure(options, entry_count, seconds)))
        for report in reports[-2:]:
            click.echo(msgspec.json.encode(report).decode())
    path = options.out / 'configuration-scaling.json'
    path.write_bytes(msgspec.json.encode(reports))
    return 0


async def _measure(
    options: ExperimentOptions,
    entry_count: int,
    seconds: float,
) -> list[PhaseReport]:
    log_folder = options.out / f'scaling-{entry_count}'
    log_folder.mkdir(parents=True, exist_ok=True)
    fleet = ConfigurationFleet(log_folder, entry_count)
    try:
        await _start(fleet)
        await asyncio.sleep(_SETTLE_SECONDS)
        idle = await _measure_phase(fleet, 'idle', seconds)
        change_task = asyncio.create_task(_commit_changes(fleet, options.seed))
        under_changes = await _measure_phase(fleet, 'changes', seconds)
        change_task.cancel()
        await asyncio.gather(change_task, return_exceptions=True)
    finally:
        await fleet.stop()
    return [idle, under_changes]


async def _start(fleet: ConfigurationFleet) -> None:
    await fleet.start_store()
    store = HttpStore(fleet.store_url)
    await commit(store, await read_tables(store), initial_tables())
    await store.close()
    entries = list(fleet.entries.values())
    for index in range(0, len(entries), _START_BATCH_SIZE):
        batch = entries[index : index + _START_BATCH_SIZE]
        for entry in batch:
            await fleet.start_entry(entry)
        await asyncio.gather(*map(fleet.wait_ready, batch))


async def _measure_phase(
    fleet: ConfigurationFleet,
    name: str,
    seconds: float,
) -> PhaseReport:
    meter = CostMeter(fleet)
    before = await fleet.counters()
    started_at = time.monotonic()
    meter_task = asyncio.create_task(meter.run())
    await asyncio.sleep(seconds)
    cost = meter.cost()
    elapsed = time.monotonic() - started_at
    meter_task.cancel()
    await asyncio.gather(meter_task, return_exceptions=True)
    after = await fleet.counters()
    return _build_report(fleet, name, cost, before, after, elapsed)


def _build_report(
    fleet: ConfigurationFleet,
    name: str,
    cost: Cost,
    before: dict[str, int],
    after: dict[str, int],
    elapsed: float,
) -> PhaseReport:
    return PhaseReport(
        entries=len(fleet.entries),
        phase=name,
        bytes_per_s=round(cost.bytes_per_s, 1),
        core_share=round(cost.core_share, 5),
        rss_mb=round(cost.rss_mb, 1),
        reads_per_s=round((after['reads'] - before['reads']) / elapsed, 2),
        writes_per_s=round((after['writes'] - before['writes']) / elapsed, 2),
    )


async def _commit_changes(fleet: ConfigurationFleet, seed: int) -> None:
    random_source = random.Random(seed)
    store = HttpStore(fleet.store_url)
    try:
        while True:
            base = await read_tables(store)
            name = f'route-{random_source.randrange(10)}'
            path = f'/{random_source.randrange(10_000)}'
            route = Route(name, 'pool-0', path_prefix=path)
            await commit(store, base, apply_routes(base.tables, [route]))
            await asyncio.sleep(1 / CHANGES_PER_SECOND)
    finally:
        await store.close()
