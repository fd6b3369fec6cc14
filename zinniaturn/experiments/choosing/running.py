"""Running a plan: start the fleet, take the turns, collect what came of it."""

__all__ = ('Run', 'run_plan')

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
    ORACLE,
    Plan,
    Slice,
    Workload,
    interleaved,
)
from zinniaturn.experiments.exceptions import ExperimentError
from zinniaturn.standins.backend_faults import BackendFaults
from zinniaturn.standins.backend_group import GroupCounts

_GENERATORS = 4
_START_SECONDS = 0.3
_POLL_SECONDS = 0.05
_GAP_SECONDS = 0.3
_FAILED_WAIT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Run:
    """What a plan brought: its turns, the requests and the counts."""

    turns: list[Slice]
    rows: list[LoadRow]
    counts: dict[str, GroupCounts]


async def run_plan(plan: Plan) -> Run:
    """Run a plan on a fleet of its own; raises `ExperimentError`."""
    folder = Path(tempfile.mkdtemp(prefix='zinniaturn-'))
    fleet = ChoosingFleet(plan, folder)
    runner = _Runner(plan, fleet, folder)
    try:
        await fleet.start()
        return await runner.run()
    finally:
        await fleet.stop()
        shutil.rmtree(folder, ignore_errors=True)


class _Runner:
    def __init__(
        self,
        plan: Plan,
        fleet: ChoosingFleet,
        folder: Path,
    ) -> None:
        self.plan = plan
        self.fleet = fleet
        self.folder = folder
        self.turns = interleaved(plan.policies, plan.rounds, plan.seed)

    async def run(self) -> Run:
        names = [f'generator-{number}' for number in range(_GENERATORS)]
        for number, name in enumerate(names):
            await self._start_generator(number, name)
        starts_at = await self._start_load(names)
        for number, turn in enumerate(self.turns):
            await self._take_turn(turn, self._starts_at(starts_at, number))
        for name in names:
            if await self.fleet.group.wait(name, _FAILED_WAIT_SECONDS):
                raise ExperimentError(f'{name} failed')
        return Run(self.turns, self._rows(), await self.fleet.counts())

    async def _start_load(self, names: list[str]) -> float:
        waiting = [self.folder / f'{name}.ready' for name in names]
        async with asyncio.timeout(_FAILED_WAIT_SECONDS):
            while not all(path.exists() for path in waiting):
                await asyncio.sleep(_POLL_SECONDS)
        starts_at = time.monotonic() + _START_SECONDS
        unseen = self.folder / 'start.unseen'
        unseen.write_text(str(starts_at))
        unseen.rename(self.folder / START_FILE)
        return starts_at

    def _starts_at(self, first: float, number: int) -> float:
        return first + number * (self.plan.slice_seconds + _GAP_SECONDS)

    async def _start_generator(
        self,
        number: int,
        name: str,
    ) -> None:
        order = LoadOrder(
            generator=number,
            entries=self.fleet.entries,
            streams=tuple(
                self._stream(turn, index, workload)
                for index, turn in enumerate(self.turns)
                for workload in self.plan.workloads
            ),
        )
        order_path = self.folder / f'{name}.order'
        order_path.write_bytes(msgspec.json.encode(order))
        await self.fleet.group.start(
            name,
            'experiment',
            'generate',
            str(order_path),
            str(self.folder / f'{name}.rows'),
        )

    def _stream(
        self,
        turn: Slice,
        number: int,
        workload: Workload,
    ) -> Stream:
        plan = self.plan
        rates = [
            (offset, share * workload.capacity / _GENERATORS)
            for offset, share in plan.loads
        ]
        rates.append((plan.slice_seconds, 0))
        return Stream(
            slice_number=number,
            service=workload.service,
            path=f'/{workload.service}-{turn.policy}/x',
            starts_after=self._starts_at(0, number),
            rates=tuple(rates),
            seed=f'{plan.seed}/{turn.round_number}/{workload.service}',
            mean_seconds=workload.mean_seconds,
            sigma=workload.sigma,
            post_share=workload.post_share,
            long_share=workload.long_share,
            long_factor=workload.long_factor,
            deadline_seconds=plan.deadline_seconds,
            patience_seconds=plan.patience_seconds,
        )

    async def _take_turn(self, turn: Slice, starts_at: float) -> None:
        await _sleep_until(starts_at - _GAP_SECONDS / 2)
        for workload in self.plan.workloads:
            healthy = {
                name: BackendFaults()
                for name in self.fleet.server_names(workload.service)
            }
            await self.fleet.order(
                workload.service,
                healthy,
                oracle=turn.policy == ORACLE,
            )
        for fault in self.plan.faults:
            await _sleep_until(starts_at + fault.after_seconds)
            await self.fleet.order(
                fault.service,
                fault.faults,
                oracle=turn.policy == ORACLE,
            )
        await _sleep_until(starts_at + self.plan.slice_seconds)

    def _rows(self) -> list[LoadRow]:
        return [
            row
            for path in sorted(self.folder.glob('generator-*.rows'))
            for row in msgspec.json.decode(
                path.read_bytes(),
                type=list[LoadRow],
            )
        ]


async def _sleep_until(moment: float) -> None:
    await asyncio.sleep(max(0, moment - time.monotonic()))
