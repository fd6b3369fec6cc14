"""What happens to the demo's fleet while the load runs."""

__all__ = ('Progress', 'follow_course')

import asyncio
import time
from collections.abc import Callable

from zinniaturn.demo.fleet import DemoFleet
from zinniaturn.demo.load import DemoLoad
from zinniaturn.tables.differences import compare_tables, format_changes

Progress = Callable[[str], None]

_DRAIN_AT_SHARE = 1 / 3
_EDIT_AT_SHARE = 1 / 2
_BACK_AT_SHARE = 2 / 3
_REPORT_SECONDS = 1.0
_MILLISECONDS = 1000


async def follow_course(
    fleet: DemoFleet,
    load: DemoLoad,
    seconds: float,
    progress: Progress,
) -> None:
    """Let a server drain, edit the tables, and report every second."""
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_drain(fleet, seconds, progress))
        tasks.create_task(_edit(fleet, seconds * _EDIT_AT_SHARE, progress))
        tasks.create_task(_report(load, seconds, progress))


async def _drain(
    fleet: DemoFleet,
    seconds: float,
    progress: Progress,
) -> None:
    backend = fleet.backends['ledger'][1]
    await asyncio.sleep(seconds * _DRAIN_AT_SHARE)
    backend.faults.draining = True
    before = backend.executions.total()
    progress('* ledger-1 drains: it says on its answers that it is leaving')
    await asyncio.sleep(seconds * (_BACK_AT_SHARE - _DRAIN_AT_SHARE))
    backend.faults.draining = False
    count = backend.executions.total() - before
    progress(f'* ledger-1 is back; requests it got while it drained: {count}')


async def _edit(fleet: DemoFleet, after: float, progress: Progress) -> None:
    await asyncio.sleep(after)
    before = fleet.tables()
    started = time.monotonic()
    revision = await fleet.mark_leaving('card', 0)
    elapsed = (time.monotonic() - started) * _MILLISECONDS
    progress('* an operator edits the tables:')
    progress(format_changes(compare_tables(before, fleet.tables())))
    progress(
        f'  accepted as revision {revision} and in force on every entry '
        f'after {elapsed:.0f} ms',
    )


async def _report(load: DemoLoad, seconds: float, progress: Progress) -> None:
    for second in range(1, int(seconds) + 1):
        await asyncio.sleep(_REPORT_SECONDS)
        progress(
            f'{second:4} s {load.requests:7} requests {load.answered:7} '
            f'answered {load.told["not-run"]:5} refused, not run '
            f'{load.told["unknown"]:5} unknown',
        )
