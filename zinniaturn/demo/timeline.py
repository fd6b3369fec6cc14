"""Schedules the events of the demo while the load runs."""

__all__ = ('ProgressReporter', 'run_timeline')

import asyncio
import time
from collections.abc import Callable

from zinniaturn.demo.fleet import DemoFleet
from zinniaturn.demo.load import DemoLoad
from zinniaturn.tables.differences import compare_tables, format_changes

ProgressReporter = Callable[[str], None]

_DRAIN_START_SHARE = 1 / 3
_EDIT_SHARE = 1 / 2
_DRAIN_END_SHARE = 2 / 3
_REPORT_INTERVAL_SECONDS = 1.0
_MILLISECONDS_PER_SECOND = 1000


async def run_timeline(
    fleet: DemoFleet,
    load: DemoLoad,
    seconds: float,
    progress: ProgressReporter,
) -> None:
    """Drain a server, edit the tables, and report progress every second."""
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_drain(fleet, seconds, progress))
        tasks.create_task(_edit(fleet, seconds * _EDIT_SHARE, progress))
        tasks.create_task(_report_progress(load, seconds, progress))


async def _drain(
    fleet: DemoFleet,
    seconds: float,
    progress: ProgressReporter,
) -> None:
    backend = fleet.backends['ledger'][1]
    await asyncio.sleep(seconds * _DRAIN_START_SHARE)
    backend.faults.draining = True
    count_before = backend.executions.total()
    progress('* ledger-1 drains: its responses say that it is leaving')
    await asyncio.sleep(seconds * (_DRAIN_END_SHARE - _DRAIN_START_SHARE))
    backend.faults.draining = False
    count = backend.executions.total() - count_before
    progress(f'* ledger-1 stops draining; requests received meanwhile: {count}')


async def _edit(
    fleet: DemoFleet, after: float, progress: ProgressReporter
) -> None:
    await asyncio.sleep(after)
    tables_before = fleet.tables()
    started = time.monotonic()
    revision = await fleet.mark_leaving('card', 0)
    elapsed = (time.monotonic() - started) * _MILLISECONDS_PER_SECOND
    progress('* an operator edits the tables:')
    progress(format_changes(compare_tables(tables_before, fleet.tables())))
    progress(
        f'  accepted as revision {revision} and in force on every entry '
        f'after {elapsed:.0f} ms',
    )


async def _report_progress(
    load: DemoLoad, seconds: float, progress: ProgressReporter
) -> None:
    for second in range(1, int(seconds) + 1):
        await asyncio.sleep(_REPORT_INTERVAL_SECONDS)
        progress(
            f'{second:4} s {load.requests:7} requests {load.answered:7} '
            f'answered {load.outcomes["not-run"]:5} refused, not run '
            f'{load.outcomes["unknown"]:5} unknown',
        )
