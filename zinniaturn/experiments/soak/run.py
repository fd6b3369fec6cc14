"""A run of the soak for one seed, and its report."""

__all__ = ('SoakReport', 'run_seed', 'run_soak')

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
from zinniaturn.experiments.soak.checking import Violation, check_guarantees
from zinniaturn.experiments.soak.faults import FaultInjector
from zinniaturn.experiments.soak.fleet import SoakFleet
from zinniaturn.experiments.soak.plan import Fault, make_plan
from zinniaturn.experiments.soak.resources import watch_resources

_VM_COUNT = 4
_SERVER_COUNT = 5
_CALLER_COUNT = 12
_DEFAULT_SECONDS = 20.0
_STALL_SECONDS = 0.25
_TICK_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class SoakReport:
    """The result of one seed."""

    seed: int
    seconds: float
    requests: int
    answered: int
    faults: dict[str, int]
    violations: tuple[Violation, ...]


def run_soak(options: ExperimentOptions) -> int:
    """Run one seed, write its logs and report; return the exit status."""
    seconds = options.seconds or _DEFAULT_SECONDS
    folder = options.out / f'soak-{options.seed}'
    folder.mkdir(parents=True, exist_ok=True)
    report = asyncio.run(run_seed(options.seed, seconds, folder))
    (folder / 'report.json').write_text(json.dumps(asdict(report), indent=1))
    if options.as_json:
        click.echo(json.dumps(asdict(report)))
    else:
        _print_report(report, folder)
    return int(bool(report.violations))


async def run_seed(
    seed: int,
    seconds: float,
    folder: Path | None = None,
    vm_count: int = _VM_COUNT,
) -> SoakReport:
    """Run one seed; logs go to ``folder`` or are deleted at the end."""
    with tempfile.TemporaryDirectory() as temporary_folder:
        fleet = SoakFleet(seed, folder or Path(temporary_folder))
        plan = make_plan(seed, seconds)
        try:
            await fleet.start(vm_count, _SERVER_COUNT)
            callers, stalls = await _run_plan(fleet, plan, seconds)
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
        tuple(check_guarantees(fleet, ended, stalls)),
    )


async def _run_plan(
    fleet: SoakFleet,
    plan: list[Fault],
    seconds: float,
) -> tuple[list[SoakCaller], list[float]]:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    stalls: list[float] = []
    injector = FaultInjector(fleet)
    callers = [
        SoakCaller(f'c{number}', fleet, random.Random(fleet.seed + number))
        for number in range(_CALLER_COUNT)
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    tasks.append(asyncio.create_task(_record_stalls(stalls)))
    tasks.append(
        asyncio.create_task(watch_resources(fleet.vms, fleet.resources))
    )
    for fault in plan:
        await asyncio.sleep(
            max(0, started_at + fault.start_seconds - loop.time())
        )
        injector.inject(fault)
    await asyncio.sleep(max(0, started_at + seconds - loop.time()))
    injector.stop()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for caller in callers:
        caller.close()
    return callers, stalls


async def _record_stalls(stalls: list[float]) -> None:
    """Record the times at which this process's event loop was blocked."""
    loop = asyncio.get_running_loop()
    while True:
        slept_at = loop.time()
        await asyncio.sleep(_TICK_SECONDS)
        if loop.time() - slept_at > _STALL_SECONDS:
            stalls.append(loop.time())


def _print_report(report: SoakReport, folder: Path) -> None:
    click.echo(
        f'seed {report.seed}: {report.requests} requests, '
        f'{report.answered} answered, {sum(report.faults.values())} faults, '
        f'{len(report.violations)} guarantees violated',
    )
    for violation in report.violations:
        click.echo(
            f'  {violation.promise}: {violation.request_id}: '
            f'{violation.detail}',
        )
    if report.violations:
        click.echo(f'  logs: {folder}')
