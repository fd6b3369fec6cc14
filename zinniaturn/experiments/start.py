"""Measure the startup CPU time and the peak memory of a gateway process."""

__all__ = ('StartFigures', 'measure_start', 'run_start')

import asyncio
import json
import random
import tempfile
from dataclasses import asdict, dataclass
from http import HTTPStatus
from pathlib import Path

import click
import psutil

from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.experiments.soak.callers import SoakCaller
from zinniaturn.experiments.soak.fleet import SoakFleet

_SERVER_COUNT = 6
_DEFAULT_LOAD_SECONDS = 5.0
_READY_EVENT_TEXT = '"event":701'
_POLL_INTERVAL_SECONDS = 0.005
_READY_TIMEOUT_SECONDS = 20.0
_KILOBYTES_PER_MEGABYTE = 1024
_TARGET_MEGABYTES = 35.0
_TARGET_CPU_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class StartFigures:
    """CPU time until ready, and peak memory after some load."""

    cpu_seconds_to_ready: float
    seconds_to_ready: float
    peak_megabytes: float
    requests: int

    def meets_targets(self) -> bool:
        """Return whether CPU time and memory are below the users' targets."""
        return (
            self.cpu_seconds_to_ready < _TARGET_CPU_SECONDS
            and self.peak_megabytes < _TARGET_MEGABYTES
        )


def run_start(options: ExperimentOptions) -> int:
    """Print the figures; return 1 if they miss the targets, else 0."""
    seconds = options.seconds or _DEFAULT_LOAD_SECONDS
    figures = asyncio.run(measure_start(seconds))
    if options.as_json:
        click.echo(json.dumps(asdict(figures)))
    else:
        click.echo(
            f'ready after {figures.cpu_seconds_to_ready:.2f} s of CPU '
            f'time ({figures.seconds_to_ready:.2f} s elapsed), peak memory '
            f'{figures.peak_megabytes:.1f} MB after {figures.requests} '
            'requests',
        )
    return int(not figures.meets_targets())


async def measure_start(seconds: float) -> StartFigures:
    """Start one gateway process, send requests to it and measure it."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = SoakFleet(1, Path(folder))
        try:
            await fleet.start(0, _SERVER_COUNT)
            fleet.add_vms(1)
            return await _measure(fleet, seconds)
        finally:
            await fleet.stop()


async def _measure(fleet: SoakFleet, seconds: float) -> StartFigures:
    vm = fleet.vms[0]
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    vm.start()
    assert vm.process is not None
    await _wait_until_ready(vm.log_path)
    ready_at = loop.time()
    cpu_times = psutil.Process(vm.process.pid).cpu_times()
    caller = SoakCaller('c', fleet, random.Random(fleet.seed))
    caller_task = asyncio.create_task(caller.run())
    await asyncio.sleep(seconds)
    caller_task.cancel()
    caller.close()
    return StartFigures(
        cpu_times.user + cpu_times.system,
        ready_at - started_at,
        _peak_megabytes(vm.process.pid),
        sum(call.status == HTTPStatus.OK for call in caller.calls),
    )


async def _wait_until_ready(log_path: Path) -> None:
    async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
        while (
            not log_path.exists()
            or _READY_EVENT_TEXT not in log_path.read_text()
        ):
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)


def _peak_megabytes(pid: int) -> float:
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    peak_line = next(line for line in lines if line.startswith('VmHWM'))
    return int(peak_line.split()[1]) / _KILOBYTES_PER_MEGABYTE
