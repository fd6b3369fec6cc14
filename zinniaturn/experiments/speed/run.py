"""Experiments ``speed``, ``speed-smoke`` and ``explain-cost``."""

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
from zinniaturn.experiments.speed.figures import LoadLatencies
from zinniaturn.experiments.speed.fleet import SpeedFleet
from zinniaturn.experiments.speed.load import measure_latencies, saturate

_OPEN_CONNECTIONS = 64
_SATURATION_WORKERS = 32
_P50 = 0.5
_P99 = 0.99
_FULL_RATES = (200.0, 600.0, 1200.0)


@dataclass(frozen=True, slots=True)
class SpeedPlan:
    """
    Targets, rates and durations of a run.

    Each of the ``rounds`` measures each target for ``round_seconds`` at each
    rate.
    """

    rates: tuple[float, ...]
    rounds: int
    round_seconds: float
    saturation_seconds: float
    extra_routes: int = 0
    entries: Mapping[str, Mapping[str, str]] = field(
        default_factory=lambda: {'entry': {}},
    )

    def targets(self) -> tuple[str, ...]:
        """Return the names of the targets that each round measures."""
        return ('direct', 'relay', *self.entries)


@dataclass(slots=True)
class Saturation:
    """Responses and CPU time of a target at saturation."""

    responses: int = 0
    cpu_seconds: float = 0
    seconds: float = 0

    @property
    def per_core_second(self) -> float:
        """Return the requests per second of CPU time."""
        return round(self.responses / self.cpu_seconds, 1)


@dataclass(slots=True)
class SpeedResults:
    """Results of a run."""

    loads: list[LoadLatencies]
    saturations: dict[str, Saturation]

    def summary(self, load: LoadLatencies) -> dict[str, float]:
        """Return the results at one load under the keys of the JSON line."""
        entry_p99 = load.added_milliseconds('entry', _P99)
        relay_p99 = load.added_milliseconds('relay', _P99)
        return {
            'added_p50_ms': load.added_milliseconds('entry', _P50),
            'added_p99_ms': entry_p99,
            'relay_added_p50_ms': load.added_milliseconds('relay', _P50),
            'relay_added_p99_ms': relay_p99,
            'p99_over_relay': round(entry_p99 / relay_p99, 3),
            'requests_per_core_s': self.saturations['entry'].per_core_second,
            'relay_requests_per_core_s': self.saturations[
                'relay'
            ].per_core_second,
        }


def run_speed_smoke(options: ExperimentOptions) -> int:
    """Measure at 600 requests/s; the run takes less than 45 s."""
    plan = SpeedPlan(
        (600,), rounds=12, round_seconds=0.5, saturation_seconds=0.4
    )
    results = _run(plan, options)
    _write_results(results.summary(results.loads[0]), options)
    return 0


def run_speed(options: ExperimentOptions) -> int:
    """Measure at 200, 600 and 1,200 requests/s and at saturation."""
    plan = SpeedPlan(
        _FULL_RATES,
        rounds=10,
        round_seconds=1,
        saturation_seconds=1,
    )
    results = _run(plan, options)
    rows = {f'{load.rate:g}': results.summary(load) for load in results.loads}
    _write_results(rows, options)
    return 0


def run_explain_cost(options: ExperimentOptions) -> int:
    """Compare an entry with decision records to one without."""
    plan = SpeedPlan(
        (600,),
        rounds=25,
        round_seconds=0.2,
        saturation_seconds=0.5,
        entries={
            'entry': {},
            'without': {'ZINNIATURN_DECISION_RECORDS': '0'},
        },
    )
    results = _run(plan, options)
    rates = {
        name: saturation.per_core_second
        for name, saturation in results.saturations.items()
    }
    cost_share = 1 - rates['entry'] / rates['without']
    _write_results(
        {
            'requests_per_core_s': rates['entry'],
            'without_requests_per_core_s': rates['without'],
            'cost_share': round(cost_share, 4),
        },
        options,
    )
    return 0


async def measure(plan: SpeedPlan, out: Path, seed: int) -> SpeedResults:
    """Start the processes and run the loads of a plan."""
    fleet = SpeedFleet(out, plan.entries, plan.extra_routes)
    try:
        await fleet.start()
        return await _measure(plan, fleet, random.Random(seed))
    finally:
        await fleet.stop()


async def _measure(
    plan: SpeedPlan,
    fleet: SpeedFleet,
    random_source: random.Random,
) -> SpeedResults:
    clients = {name: LoadClient(fleet.ports[name]) for name in plan.targets()}
    for client in clients.values():
        await client.open(_OPEN_CONNECTIONS)
        await saturate(client, _SATURATION_WORKERS, plan.round_seconds)
    results = SpeedResults(
        [LoadLatencies(rate) for rate in plan.rates],
        {name: Saturation() for name in ('relay', *plan.entries)},
    )
    for _ in range(plan.rounds):
        for load in results.loads:
            for name in plan.targets():
                latencies = await measure_latencies(
                    clients[name], load.rate, plan.round_seconds, random_source
                )
                load.latencies[name].append(latencies)
        for name, saturation in results.saturations.items():
            cpu_seconds_before = fleet.cpu_seconds(name)
            saturation.responses += await saturate(
                clients[name], _SATURATION_WORKERS, plan.saturation_seconds
            )
            saturation.cpu_seconds += (
                fleet.cpu_seconds(name) - cpu_seconds_before
            )
            saturation.seconds += plan.saturation_seconds
    return results


def _run(plan: SpeedPlan, options: ExperimentOptions) -> SpeedResults:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(measure(plan, options.out, options.seed))


def _write_results(
    results: Mapping[str, object],
    options: ExperimentOptions,
) -> None:
    json_line = json.dumps(results)
    (options.out / 'speed.json').write_text(f'{json_line}\n')
    if options.as_json:
        print(json_line)
        return
    for name, number in results.items():
        print(f'{name:<28}{number}')
