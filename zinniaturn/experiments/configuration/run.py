"""Runs of the configuration experiment, in a short and a full form."""

__all__ = ('run_full', 'run_smoke')

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import click
import msgspec

from zinniaturn.configuration import Snapshot
from zinniaturn.configuration.commit import (
    commit,
    new_change_id,
    read_tables,
)
from zinniaturn.configuration.layout import read_head
from zinniaturn.configuration.pages import find_revision
from zinniaturn.configuration.planning import Authorship
from zinniaturn.configuration.restoring import restore
from zinniaturn.errors import CodedError
from zinniaturn.experiments.configuration.checking import (
    Findings,
    check_history,
)
from zinniaturn.experiments.configuration.cost import Cost, CostMeter
from zinniaturn.experiments.configuration.faults import FaultInjector, FaultKind
from zinniaturn.experiments.configuration.fleet import ConfigurationFleet
from zinniaturn.experiments.configuration.history import (
    History,
    InstalledRevision,
    Interval,
    Outcome,
    read_installed_revisions,
)
from zinniaturn.experiments.configuration.operators import (
    Operator,
    initial_tables,
    rows_of,
)
from zinniaturn.experiments.exceptions import ExperimentError
from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.status import read_entry_tables
from zinniaturn.store import HttpStore, StoreError

ENTRIES = 13
FULL_SECONDS = 300.0
IN_FORCE_SECONDS = 4.0

_CONVERGENCE_TIMEOUT_SECONDS = 20.0
_POLL_INTERVAL_SECONDS = 0.1


class Report(msgspec.Struct):
    """The result of a run; costs are per entry."""

    commits: int
    accepted: int
    refused: int
    unavailable: int
    unknown_settled: int
    accepted_lost: int
    reversions: int
    in_force_max_s: float
    faults: dict[str, int]
    control_bytes_per_s: float
    control_core_share: float
    control_rss_mb: float
    notes: list[str]

    def has_passed(self) -> bool:
        """Return whether no guarantee was violated and every fault occurred."""
        is_late = self.in_force_max_s > IN_FORCE_SECONDS
        lacks_fault = not all(self.faults.values())
        return not (
            self.accepted_lost or self.reversions or is_late or lacks_fault
        )


@dataclass
class ConfigurationRun:
    """One run of the experiment."""

    options: ExperimentOptions
    seconds: float
    history: History = field(default_factory=History)
    left_out: int = 0

    def __post_init__(self) -> None:
        """Prepare the fleet, the store client and an empty log folder."""
        log_folder = self.options.out / f'configuration-{self.options.seed}'
        log_folder.mkdir(parents=True, exist_ok=True)
        for old in log_folder.glob('*.log'):
            old.unlink()
        self.log_folder = log_folder
        self.fleet = ConfigurationFleet(log_folder, ENTRIES)
        self.store = HttpStore(self.fleet.store_url, caller='operator')
        self.history.faults = {kind.value: 0 for kind in FaultKind}

    async def execute(self) -> Report:
        """Run everything and return the report."""
        try:
            return await self._execute()
        finally:
            await self.store.close()
            await self.fleet.stop()

    async def _execute(self) -> Report:
        await self._start()
        meter = CostMeter(self.fleet)
        meter_task = asyncio.create_task(meter.run())
        operators = self._operators()
        operator_tasks = [
            asyncio.create_task(operator.run()) for operator in operators
        ]
        injector = FaultInjector(
            self.fleet,
            self.history,
            random.Random(self.options.seed),
            self._restore,
        )
        ends_at = time.monotonic() + self.seconds
        await injector.run_cycle()
        while time.monotonic() < ends_at:
            await injector.run_cycle()
        for operator in operators:
            operator.is_stopping = True
        await asyncio.gather(*operator_tasks)
        await self._wait_until_converged()
        cost = meter.cost()
        meter_task.cancel()
        await asyncio.gather(meter_task, return_exceptions=True)
        for operator in operators:
            await operator.store.close()
        return await self._report(cost)

    async def _start(self) -> None:
        await self.fleet.start_store()
        tables = initial_tables()
        await commit(self.store, await read_tables(self.store), tables)
        self.history.initial = rows_of(tables)
        entries = list(self.fleet.entries.values())
        for entry_process in entries:
            await self.fleet.start_entry(entry_process)
        await asyncio.gather(*map(self.fleet.wait_ready, entries))
        now = time.time()
        self.history.reachable_intervals = [
            Interval(entry.name, now) for entry in entries
        ]

    def _operators(self) -> list[Operator]:
        return [
            Operator(
                name,
                HttpStore(self.fleet.store_url, caller=name),
                random.Random(f'{name} {self.options.seed}'),
                self.history,
            )
            for name in ('anna', 'bolor')
        ]

    async def _restore(self) -> None:
        if not await self._is_fenced():
            return
        plan = await restore(
            self.store,
            await self._newest_snapshot(),
            Authorship('experiment', 'the store was reset', time.time()),
            new_change_id(),
            prefers_entries=True,
        )
        self.left_out += len(plan.left_out)

    async def _is_fenced(self) -> bool:
        deadline = time.monotonic() + _CONVERGENCE_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if (await read_head(self.store)).head.fence is not None:
                return True
            if await self._is_store_current():
                return False
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        raise ExperimentError('no entry fenced the store')

    async def _is_store_current(self) -> bool:
        head = (await read_head(self.store)).head
        installed_head = (await self._newest_snapshot()).head
        return head.position == installed_head.position

    async def _newest_snapshot(self) -> Snapshot:
        snapshots = [
            snapshot for snapshot in await self._read_snapshots() if snapshot
        ]
        return max(snapshots, key=lambda snapshot: snapshot.head.revision)

    async def _read_snapshots(self) -> list[Snapshot | None]:
        timeout = aiohttp.ClientTimeout(3)
        async with aiohttp.ClientSession(timeout=timeout) as session:

            async def read(admin: str) -> Snapshot | None:
                try:
                    return await read_entry_tables(session, admin)
                except CodedError:
                    return None

            return await asyncio.gather(
                *(
                    read(entry.admin)
                    for entry in self.fleet.entries.values()
                    if entry.is_running
                ),
            )

    async def _wait_until_converged(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CONVERGENCE_TIMEOUT_SECONDS):
                while not await self._has_converged():
                    await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    async def _has_converged(self) -> bool:
        try:
            head = (await read_head(self.store)).head
        except StoreError:
            return False
        snapshots = await self._read_snapshots()
        return all(
            snapshot is not None and snapshot.head.position == head.position
            for snapshot in snapshots
        )

    async def _report(self, cost: Cost) -> Report:
        head = (await read_head(self.store)).head
        for recorded in self.history.commits:
            revision = await find_revision(self.store, head, recorded.change_id)
            recorded.revision = revision or 0
        final = await self._final_rows()
        findings = check_history(
            self.history, self._installed_revisions(), final
        )
        self._check_final_positions(findings, await self._read_snapshots())
        return self._make_report(findings, cost)

    async def _final_rows(self) -> dict[str, str]:
        return dict(rows_of((await self._newest_snapshot()).tables))

    def _installed_revisions(self) -> list[InstalledRevision]:
        revisions: list[InstalledRevision] = []
        for path in sorted(self.log_folder.glob('entry-*.log')):
            revisions.extend(read_installed_revisions(path, path.stem))
        return revisions

    def _check_final_positions(
        self,
        findings: Findings,
        snapshots: list[Snapshot | None],
    ) -> None:
        positions = {
            snapshot.head.position if snapshot else None
            for snapshot in snapshots
        }
        if len(positions) > 1:
            findings.reversions += 1
            findings.notes.append(f'entries ended at {positions}')

    def _make_report(self, findings: Findings, cost: Cost) -> Report:
        commits = self.history.commits
        return Report(
            commits=len(commits),
            accepted=self._count_outcome(Outcome.ACCEPTED),
            refused=self._count_outcome(Outcome.REFUSED),
            unavailable=self._count_outcome(Outcome.UNAVAILABLE),
            unknown_settled=sum(recorded.was_unknown for recorded in commits),
            accepted_lost=findings.accepted_lost,
            reversions=findings.reversions,
            in_force_max_s=round(findings.in_force_max_s, 3),
            faults=self.history.faults,
            control_bytes_per_s=round(cost.bytes_per_s, 1),
            control_core_share=round(cost.core_share, 5),
            control_rss_mb=round(cost.rss_mb, 1),
            notes=findings.notes,
        )

    def _count_outcome(self, outcome: Outcome) -> int:
        return sum(
            recorded.outcome is outcome for recorded in self.history.commits
        )


def run_smoke(options: ExperimentOptions) -> int:
    """Inject every kind of fault once, within 45 s."""
    return _run(options, options.seconds or 1)


def run_full(options: ExperimentOptions) -> int:
    """Inject every kind of fault repeatedly for ``--seconds``."""
    return _run(options, options.seconds or FULL_SECONDS)


def _run(options: ExperimentOptions, seconds: float) -> int:
    report = asyncio.run(ConfigurationRun(options, seconds).execute())
    path = Path(options.out) / f'configuration-{options.seed}.json'
    path.write_bytes(msgspec.json.encode(report))
    if options.as_json:
        click.echo(msgspec.json.encode(report).decode())
    else:
        for name in report.__struct_fields__:
            click.echo(f'{name:<22}{getattr(report, name)}')
    return 0 if report.has_passed() else 1
