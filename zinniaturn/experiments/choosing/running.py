"""
Runs an experiment plan: starts the fleet and the load generators, sets the
faults of each time slice, and collects rows and counters.
"""

__all__ = ('ChoosingRun', 'run_plan')

import asyncio
import shutil
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from zinniaturn.experiments.choosing.fleet import ChoosingFleet
from zinniaturn.experiments.choosing.generator import START_FILE
from zinniaturn.experiments.choosing.load_order import (
    LoadOrder,
    LoadRow,
    Stream,
)
from zinniaturn.experiments.choosing.plan import (
    ORACLE_POLICY,
    Plan,
    Slice,
    Workload,
    interleave_policies,
)
from zinniaturn.experiments.exceptions import ExperimentError
from zinniaturn.standins.backend_faults import BackendFaults
from zinniaturn.standins.backend_group import GroupCounts

_GENERATOR_COUNT = 4
_START_DELAY_SECONDS = 0.3
_POLL_INTERVAL_SECONDS = 0.05
_SLICE_GAP_SECONDS = 0.3
_GENERATOR_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class ChoosingRun:
    """The time slices of a run, its requests and the servers' counters."""

    slices: list[Slice]
    rows: list[LoadRow]
    counts: dict[str, GroupCounts]


async def run_plan(plan: Plan) -> ChoosingRun:
    """Run a plan on a new fleet; raises `ExperimentError`."""
    folder = Path(tempfile.mkdtemp(prefix='zinniaturn-'))
    fleet = ChoosingFleet(plan, folder)
    runner = _PlanRunner(plan, fleet, folder)
    try:
        await fleet.start()
        return await runner.run()
    finally:
        await fleet.stop()
        shutil.rmtree(folder, ignore_errors=True)


class _PlanRunner:
    def __init__(
        self,
        plan: Plan,
        fleet: ChoosingFleet,
        folder: Path,
    ) -> None:
        self.plan = plan
        self.fleet = fleet
        self.folder = folder
        self.slices = interleave_policies(plan.policies, plan.rounds, plan.seed)

    async def run(self) -> ChoosingRun:
        names = [f'generator-{number}' for number in range(_GENERATOR_COUNT)]
        for number, name in enumerate(names):
            await self._start_generator(number, name)
        start_time = await self._start_load(names)
        for number, time_slice in enumerate(self.slices):
            await self._run_slice(
                time_slice, self._slice_start(start_time, number)
            )
        for name in names:
            if await self.fleet.process_group.wait(
                name, _GENERATOR_TIMEOUT_SECONDS
            ):
                raise ExperimentError(f'{name} failed')
        return ChoosingRun(
            self.slices, self._read_rows(), await self.fleet.read_counts()
        )

    async def _start_load(self, names: list[str]) -> float:
        ready_files = [self.folder / f'{name}.ready' for name in names]
        async with asyncio.timeout(_GENERATOR_TIMEOUT_SECONDS):
            while not all(path.exists() for path in ready_files):
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        start_time = time.monotonic() + _START_DELAY_SECONDS
        # Renamed when complete, as the generators read it once it exists.
        temporary_file = self.folder / 'start.unseen'
        temporary_file.write_text(str(start_time))
        temporary_file.rename(self.folder / START_FILE)
        return start_time

    def _slice_start(self, first_start: float, number: int) -> float:
        return first_start + number * (
            self.plan.slice_seconds + _SLICE_GAP_SECONDS
        )

    async def _start_generator(
        self,
        number: int,
        name: str,
    ) -> None:
        order = LoadOrder(
            generator=number,
            entries=self.fleet.entry_addresses,
            streams=tuple(
                self._build_stream(time_slice, index, workload)
                for index, time_slice in enumerate(self.slices)
                for workload in self.plan.workloads
            ),
        )
        order_path = self.folder / f'{name}.order'
        order_path.write_bytes(msgspec.json.encode(order))
        await self.fleet.process_group.start(
            name,
            'experiment',
            'generate',
            str(order_path),
            str(self.folder / f'{name}.rows'),
        )

    def _build_stream(
        self,
        time_slice: Slice,
        number: int,
        workload: Workload,
    ) -> Stream:
        plan = self.plan
        rates = [
            (offset, share * workload.capacity / _GENERATOR_COUNT)
            for offset, share in plan.loads
        ]
        rates.append((plan.slice_seconds, 0))
        return Stream(
            slice_number=number,
            service=workload.service,
            path=f'/{workload.service}-{time_slice.policy}/x',
            starts_after=self._slice_start(0, number),
            rates=tuple(rates),
            # Without the policy, so that all policies get the same load.
            seed=f'{plan.seed}/{time_slice.round_number}/{workload.service}',
            mean_seconds=workload.mean_seconds,
            sigma=workload.sigma,
            post_share=workload.post_share,
            long_share=workload.long_share,
            long_factor=workload.long_factor,
            deadline_seconds=plan.deadline_seconds,
            patience_seconds=plan.patience_seconds,
        )

    async def _run_slice(self, time_slice: Slice, start_time: float) -> None:
        # Faults are reset in the middle of the gap between two slices.
        await _sleep_until(start_time - _SLICE_GAP_SECONDS / 2)
        for workload in self.plan.workloads:
            healthy = {
                name: BackendFaults()
                for name in self.fleet.server_names(workload.service)
            }
            await self.fleet.set_faults(
                workload.service,
                healthy,
                oracle=time_slice.policy == ORACLE_POLICY,
            )
        for fault in self.plan.faults:
            await _sleep_until(start_time + fault.after_seconds)
            await self.fleet.set_faults(
                fault.service,
                fault.faults,
                oracle=time_slice.policy == ORACLE_POLICY,
            )
        await _sleep_until(start_time + self.plan.slice_seconds)

    def _read_rows(self) -> list[LoadRow]:
        return [
            row
            for path in sorted(self.folder.glob('generator-*.rows'))
            for row in msgspec.json.decode(
                path.read_bytes(),
                type=list[LoadRow],
            )
        ]


async def _sleep_until(monotonic_time: float) -> None:
    await asyncio.sleep(max(0, monotonic_time - time.monotonic()))
