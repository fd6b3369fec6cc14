"""One run of the soak, and the report of several."""

__all__ = ('SoakReport', 'play', 'run_soak')

import asyncio
import json
import random
import tempfile
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path

import click

from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.experiments.soak.callers import SoakCaller
from zinniaturn.experiments.soak.checking import Violation, check_promises
from zinniaturn.experiments.soak.faults import FaultMaker
from zinniaturn.experiments.soak.fleet import SoakFleet
from zinniaturn.experiments.soak.plan import Fault, make_plan

_VMS = 4
_SERVERS = 5
_CALLERS = 12
_DEFAULT_SECONDS = 20.0
_STALL_SECONDS = 0.25
_TICK_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class SoakReport:
    """What one seed brought."""

    seed: int
    seconds: float
    requests: int
    answered: int
    faults: dict[str, int]
    violations: tuple[Violation, ...]


def run_soak(options: ExperimentOptions) -> int:
    """Play one seed, keep its logs if it failed; return the exit status."""
    seconds = options.seconds or _DEFAULT_SECONDS
    folder = options.out / f'soak-{options.seed}'
    folder.mkdir(parents=True, exist_ok=True)
    report = asyncio.run(play(options.seed, seconds, folder))
    (folder / 'report.json').write_text(json.dumps(asdict(report), indent=1))
    if options.as_json:
        click.echo(json.dumps(asdict(report)))
    else:
        _print(report, folder)
    return int(bool(report.violations))


async def play(
    seed: int,
    seconds: float,
    folder: Path | None = None,
    vms: int = _VMS,
) -> SoakReport:
    """Play one seed; logs go to ``folder`` or are dropped."""
    with tempfile.TemporaryDirectory() as dropped:
        fleet = SoakFleet(seed, folder or Path(dropped))
        plan = make_plan(seed, seconds)
        try:
            await fleet.start(vms, _SERVERS)
            callers, stalls = await _play_plan(fleet, plan, seconds)
        finally:
            await fleet.stop()
    calls = [call for caller in callers for call in caller.calls]
    ended = [call for call in calls if call.ended_at]
    return SoakReport(
        seed,
        seconds,
        len(ended),
        sum(call.status == 200 for call in ended),
        dict(Counter(fault.kind.value for fault in plan)),
        tuple(check_promises(fleet, ended, stalls)),
    )


async def _play_plan(
    fleet: SoakFleet,
    plan: list[Fault],
    seconds: float,
) -> tuple[list[SoakCaller], list[float]]:
    loop = asyncio.get_running_loop()
    began = loop.time()
    stalls: list[float] = []
    faults = FaultMaker(fleet)
    callers = [
        SoakCaller(f'c{number}', fleet, random.Random(fleet.seed + number))
        for number in range(_CALLERS)
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    tasks.append(asyncio.create_task(_note_stalls(stalls)))
    for fault in plan:
        await asyncio.sleep(max(0, began + fault.at - loop.time()))
        faults.do(fault)
    await asyncio.sleep(max(0, began + seconds - loop.time()))
    faults.stop()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for caller in callers:
        caller.close()
    return callers, stalls


async def _note_stalls(stalls: list[float]) -> None:
    """Note the moments at which this process stood still."""
    loop = asyncio.get_running_loop()
    while True:
        before = loop.time()
        await asyncio.sleep(_TICK_SECONDS)
        if loop.time() - before > _STALL_SECONDS:
            stalls.append(loop.time())


def _print(report: SoakReport, folder: Path) -> None:
    click.echo(
        f'seed {report.seed}: {report.requests} requests, '
        f'{report.answered} answered, {sum(report.faults.values())} faults, '
        f'{len(report.violations)} promises broken',
    )
    for violation in report.violations:
        click.echo(
            f'  {violation.promise}: {violation.request_id}: '
            f'{violation.detail}',
        )
    if report.violations:
        click.echo(f'  logs: {folder}')
