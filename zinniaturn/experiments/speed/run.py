"""The experiments ``speed`` and ``speed-smoke``."""

__all__ = ('run_explain_cost', 'run_speed', 'run_speed_smoke')

import asyncio
import json
import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.experiments.speed.client import LoadClient
from zinniaturn.experiments.speed.figures import LoadFigures
from zinniaturn.experiments.speed.fleet import SpeedFleet
from zinniaturn.experiments.speed.load import measure_latencies, saturate

_CONNECTIONS = 64
_WORKERS = 32
_MEDIAN = 0.5
_P99 = 0.99
_FULL_RATES = (200.0, 600.0, 1200.0)


@dataclass(frozen=True, slots=True)
class SpeedPlan:
    """
    What to measure and for how long.

    Each of ``turns`` measures each target for ``turn_seconds`` at each rate.
    """

    rates: tuple[float, ...]
    turns: int
    turn_seconds: float
    saturation_seconds: float
    routes: int = 0
    entries: Mapping[str, Mapping[str, str]] = field(
        default_factory=lambda: {'entry': {}},
    )

    def targets(self) -> tuple[str, ...]:
        """Return what is measured in each turn."""
        return ('direct', 'relay', *self.entries)


@dataclass(slots=True)
class Saturation:
    """Answers and processor time of a target at saturation."""

    answered: int = 0
    cpu_seconds: float = 0
    seconds: float = 0

    @property
    def per_core_second(self) -> float:
        """Return the requests that a second of one core carries."""
        return round(self.answered / self.cpu_seconds, 1)


@dataclass(slots=True)
class SpeedFigures:
    """All figures of a run."""

    loads: list[LoadFigures]
    saturations: dict[str, Saturation]

    def summary(self, load: LoadFigures) -> dict[str, float]:
        """Return the figures at one load under the names of the JSON line."""
        entry_p99 = load.added('entry', _P99)
        relay_p99 = load.added('relay', _P99)
        return {
            'added_p50_ms': load.added('entry', _MEDIAN),
            'added_p99_ms': entry_p99,
            'relay_added_p50_ms': load.added('relay', _MEDIAN),
            'relay_added_p99_ms': relay_p99,
            'p99_over_relay': round(entry_p99 / relay_p99, 3),
            'requests_per_core_s': self.saturations['entry'].per_core_second,
            'relay_requests_per_core_s': self.saturations[
                'relay'
            ].per_core_second,
        }


def run_speed_smoke(options: ExperimentOptions) -> int:
    """Measure at 600 requests/s within 45 s."""
    plan = SpeedPlan((600,), turns=12, turn_seconds=0.5, saturation_seconds=0.4)
    figures = _run(plan, options)
    _print(figures.summary(figures.loads[0]), options)
    return 0


def run_speed(options: ExperimentOptions) -> int:
    """Measure at 200, 600 and 1,200 requests/s and at saturation."""
    plan = SpeedPlan(
        _FULL_RATES,
        turns=10,
        turn_seconds=1,
        saturation_seconds=1,
    )
    figures = _run(plan, options)
    rows = {f'{load.rate:g}': figures.summary(load) for load in figures.loads}
    _print(rows, options)
    return 0


def run_explain_cost(options: ExperimentOptions) -> int:
    """Measure an entry with and one without the record of decisions."""
    plan = SpeedPlan(
        (600,),
        turns=25,
        turn_seconds=0.2,
        saturation_seconds=0.5,
        entries={
            'entry': {},
            'without': {'ZINNIATURN_DECISION_RECORDS': '0'},
        },
    )
    figures = _run(plan, options)
    rates = {
        name: saturation.per_core_second
        for name, saturation in figures.saturations.items()
    }
    share = 1 - rates['entry'] / rates['without']
    _print(
        {
            'requests_per_core_s': rates['entry'],
            'without_requests_per_core_s': rates['without'],
            'cost_share': round(share, 4),
        },
        options,
    )
    return 0


async def measure(plan: SpeedPlan, out: Path, seed: int) -> SpeedFigures:
    """Run the processes and the loads of a plan."""
    fleet = SpeedFleet(out, plan.entries, plan.routes)
    try:
        await fleet.start()
        return await _measure(plan, fleet, random.Random(seed))
    finally:
        await fleet.stop()


async def _measure(
    plan: SpeedPlan,
    fleet: SpeedFleet,
    source: random.Random,
) -> SpeedFigures:
    clients = {name: LoadClient(fleet.ports[name]) for name in plan.targets()}
    for client in clients.values():
        await client.open(_CONNECTIONS)
        await saturate(client, _WORKERS, plan.turn_seconds)
    figures = SpeedFigures(
        [LoadFigures(rate) for rate in plan.rates],
        {name: Saturation() for name in ('relay', *plan.entries)},
    )
    for _ in range(plan.turns):
        for load in figures.loads:
            for name in plan.targets():
                latencies = await measure_latencies(
                    clients[name], load.rate, plan.turn_seconds, source
                )
                load.latencies[name].append(latencies)
        for name, saturation in figures.saturations.items():
            before = fleet.cpu_seconds(name)
            saturation.answered += await saturate(
                clients[name], _WORKERS, plan.saturation_seconds
            )
            saturation.cpu_seconds += fleet.cpu_seconds(name) - before
            saturation.seconds += plan.saturation_seconds
    return figures


def _run(plan: SpeedPlan, options: ExperimentOptions) -> SpeedFigures:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(measure(plan, options.out, options.seed))


def _print(
    figures: Mapping[str, object],
    options: ExperimentOptions,
) -> None:
    line = json.dumps(figures)
    (options.out / 'speed.json').write_text(f'{line}\n')
    if options.as_json:
        print(line)
        return
    for name, number in figures.items():
        print(f'{name:<28}{number}')
