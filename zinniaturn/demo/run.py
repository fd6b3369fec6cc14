"""Runs the demo: fleet, load and timeline."""

__all__ = ('run_demo',)

import asyncio
import random

from zinniaturn.caller import Caller
from zinniaturn.demo.fleet import DemoFleet
from zinniaturn.demo.load import DemoLoad
from zinniaturn.demo.summary import DemoSummary
from zinniaturn.demo.timeline import ProgressReporter, run_timeline

_REQUESTS_PER_SECOND = 300.0
_MICROSECONDS_PER_MILLISECOND = 1000


async def run_demo(
    seconds: float,
    seed: int,
    progress: ProgressReporter,
) -> DemoSummary:
    """Run the demo for ``seconds`` and return a summary of the results."""
    fleet = DemoFleet(seed)
    await fleet.start()
    progress(fleet.describe())
    seeds = [('127.0.0.1', entry.port) for entry in fleet.entries]
    caller = Caller(seeds, random.Random(seed))
    load = DemoLoad(caller, seed)
    timeline = asyncio.create_task(
        run_timeline(fleet, load, seconds, progress),
    )
    try:
        await load.run(seconds, _REQUESTS_PER_SECOND)
        await timeline
        revisions = {
            entry.settings.name: entry.state.installed.tables.revision
            for entry in fleet.entries
        }
    finally:
        timeline.cancel()
        await caller.close()
        progress('* the entries stop gracefully')
        await fleet.stop()
    return _summarize(load, fleet, revisions)


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
        not_run=load.outcomes['not-run'],
        unknown=load.outcomes['unknown'],
        lost=load.requests - load.answered,
        doubled=doubled,
        p50_ms=_percentile_ms(load, 50),
        p99_ms=_percentile_ms(load, 99),
        p999_ms=_percentile_ms(load, 99.9),
        revisions=revisions,
    )


def _percentile_ms(load: DemoLoad, percentile: float) -> float:
    microseconds = load.histogram.get_value_at_percentile(percentile)
    return round(microseconds / _MICROSECONDS_PER_MILLISECOND, 2)
