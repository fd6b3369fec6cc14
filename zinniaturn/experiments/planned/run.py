"""A run of planned work for one seed, and its report."""

__all__ = ('PlannedReport', 'play_planned', 'run_planned')

import asyncio
import json
import random
import tempfile
from collections import Counter
from dataclasses import asdict, dataclass
from itertools import chain
from pathlib import Path
from typing import Any

import click

from zinniaturn.experiments.planned.callers import PlannedCall, PlannedCaller
from zinniaturn.experiments.planned.rule import LostCall, find_lost
from zinniaturn.experiments.planned.sheets import SHEETS, RequestKind
from zinniaturn.experiments.planned.work import PlannedWork, WorkNote
from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.experiments.soak.fleet import HOST, POOL, SoakFleet
from zinniaturn.http1.messages import Request
from zinniaturn.platform.standins.wire import CONFIG_KEY, build_config_document

_VM_COUNT = 5
_SERVER_COUNT = 8
_SLOTS = 8
_CALLERS_PER_KIND = 12
_DEFAULT_SECONDS = 25.0
_MS_PER_SECOND = 1000
_MAX_ATTEMPTS = 2
_PRIORITY = 1
_OBJECTIVE_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class PlannedReport:
    """The result of one seed."""

    seed: int
    sheet: str
    requests: int
    statuses: dict[int, int]
    work: dict[str, int]
    lost: tuple[LostCall, ...]


@dataclass(slots=True)
class _PlannedFleet(SoakFleet):
    """A fleet whose routes are those of a sheet, and one that changes."""

    kinds: tuple[RequestKind, ...] = ()

    def write_tables(self) -> None:
        """Write the next version; one route comes and goes."""
        self.version += 1
        rows = [_route_row(kind) for kind in self.kinds]
        if self.version % 2:
            rows.append(['extra', HOST, '/extra/', 'idempotent', *rows[0][4:]])
        document = build_config_document(self.version, rows, POOL)
        self.store.write(CONFIG_KEY, document)


@dataclass(slots=True)
class _WorkTimes:
    """Draws how long servers take, by the route in a request's path."""

    kinds: dict[bytes, RequestKind]
    random_source: random.Random

    def work_for(self, request: Request) -> float:
        """Return the seconds that a server takes for a request."""
        name = request.target.split(b'/')[1]
        return self.kinds[name].draw_work(self.random_source)


def run_planned(options: ExperimentOptions) -> int:
    """Run one seed, write its logs and report; return the exit status."""
    folder = options.out / f'planned-{options.seed}'
    folder.mkdir(parents=True, exist_ok=True)
    seconds = options.seconds or _DEFAULT_SECONDS
    report = asyncio.run(play_planned(options.seed, seconds, folder))
    text = json.dumps(asdict(report), indent=1)
    (folder / 'report.json').write_text(text)
    click.echo(text if options.as_json else _summary(report))
    return int(bool(report.lost))


async def play_planned(
    seed: int, seconds: float, folder: Path | None = None
) -> PlannedReport:
    """Play one seed; logs go to ``folder`` or are deleted at the end."""
    sheet = sorted(SHEETS)[seed % len(SHEETS)]
    with tempfile.TemporaryDirectory() as temporary:
        fleet = _build_fleet(seed, folder or Path(temporary), SHEETS[sheet])
        try:
            await fleet.start(_VM_COUNT, _SERVER_COUNT)
            work = PlannedWork(fleet, random.Random(f'work {seed}'))
            calls = await _play(fleet, work, seconds)
            lost = tuple(find_lost(fleet, calls, work.notes))
        finally:
            await fleet.stop()
    return _report(seed, sheet, calls, work.notes, lost)


def _build_fleet(
    seed: int, folder: Path, kinds: tuple[RequestKind, ...]
) -> _PlannedFleet:
    by_name = {kind.name.encode(): kind for kind in kinds}
    times = _WorkTimes(by_name, random.Random(seed))
    settings = {'slots': _SLOTS, 'work_for': times.work_for}
    return _PlannedFleet(seed, folder, server_settings=settings, kinds=kinds)


async def _play(
    fleet: _PlannedFleet,
    work: PlannedWork,
    seconds: float,
) -> list[PlannedCall]:
    """Let callers call while work is done; return their requests."""
    callers = [
        PlannedCaller(
            f'{kind.name}{number}',
            kind,
            fleet,
            random.Random(f'{fleet.seed} {kind.name} {number}'),
            _CALLERS_PER_KIND / kind.per_second,
        )
        for kind in fleet.kinds
        for number in range(_CALLERS_PER_KIND)
    ]
    tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    working = asyncio.ensure_future(work.run())
    await asyncio.sleep(seconds)
    working.cancel()
    await asyncio.gather(*work.tasks, return_exceptions=True)
    for task in tasks:
        task.cancel()
    await asyncio.gather(working, *tasks, return_exceptions=True)
    for caller in callers:
        caller.close()
    return list(chain.from_iterable(one.calls for one in callers))


def _route_row(kind: RequestKind) -> list[Any]:
    timeout_ms = kind.timeout * _MS_PER_SECOND
    return [
        kind.name,
        HOST,
        f'/{kind.name}/',
        'idempotent' if kind.is_idempotent else 'non_idempotent',
        timeout_ms,
        timeout_ms * _OBJECTIVE_SHARE,
        _PRIORITY,
        POOL,
        _MAX_ATTEMPTS,
    ]


def _report(
    seed: int,
    sheet: str,
    calls: list[PlannedCall],
    notes: list[WorkNote],
    lost: tuple[LostCall, ...],
) -> PlannedReport:
    return PlannedReport(
        seed,
        sheet,
        len(calls),
        dict(Counter(call.status for call in calls if call.ended_at)),
        dict(Counter(note.name for note in notes)),
        lost,
    )


def _summary(report: PlannedReport) -> str:
    lines = [
        f'seed {report.seed} ({report.sheet}): {report.requests} requests, '
        f'by status {report.statuses}, work {report.work}, '
        f'{len(report.lost)} lost'
    ]
    lines.extend(
        f'  {one.request_id} at {one.vm}: {one.phase}, cut after '
        f'{one.seconds} s on a connection of {one.connection_age} s; '
        f'{"; ".join(one.work)}; log: {one.log_line}'
        for one in report.lost
    )
    return '\n'.join(lines)
