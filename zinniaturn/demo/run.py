"""The demo's course of events."""

__all__ = ('run_demo',)

import asyncio
import random
from collections.abc import Callable

from zinniaturn.caller import Caller
from zinniaturn.demo.fleet import DemoFleet
from zinniaturn.demo.load import DemoLoad
from zinniaturn.demo.summary import DemoSummary

_RATE_PER_SECOND = 300.0
_MILLISECONDS_DIVISOR = 1000
_DRAIN_AT_SHARE = 0.5

Progress = Callable[[str], None]


async def run_demo(
    seconds: float,
    seed: int,
    progress: Progress,
) -> DemoSummary:
    """Run the whole path for ``seconds`` and return what happened."""
    fleet = DemoFleet(seed)
    await fleet.start()
    progress('3 entries and 8 backend servers are ready')
    seeds = [('127.0.0.1', entry.port) for entry in fleet.entries]
    caller = Caller(seeds, random.Random(seed))
    load = DemoLoad(caller, seed)
    edit = asyncio.create_task(
        _edit(fleet, seconds * _DRAIN_AT_SHARE, progress)
    )
    try:
        await load.run(seconds, _RATE_PER_SECOND)
        await edit
        revisions = {
            entry.settings.name: entry.state.holder.tables.revision
            for entry in fleet.entries
        }
    finally:
        edit.cancel()
        await caller.close()
        await fleet.stop()
    return _summarize(load, fleet, revisions)


async def _edit(fleet: DemoFleet, after: float, progress: Progress) -> None:
    await asyncio.sleep(after)
    await fleet.mark_leaving('card', 0)
    progress('card-0 is leaving; revision 2 is in force on every entry')


def _summarize(
    load: DemoLoad,
    fleet: DemoFleet,
    revisions: dict[str, int],
) -> DemoSummary:
    doubled = sum(
        count > 1
        for backend in fleet.backends['ledger']
        for count in backend.executions.values()
    )
    return DemoSummary(
        requests=load.requests,
        answered=load.answered,
        not_run=load.told['not-run'],
        unknown=load.told['unknown'],
        lost=load.requests - load.answered,
        doubled=doubled,
        p50_ms=_milliseconds(load, 50),
        p99_ms=_milliseconds(load, 99),
        p999_ms=_milliseconds(load, 99.9),
        revisions=revisions,
    )


def _milliseconds(load: DemoLoad, percentile: float) -> float:
    microseconds = load.histogram.get_value_at_percentile(percentile)
    return round(microseconds / _MILLISECONDS_DIVISOR, 2)
