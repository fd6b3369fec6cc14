"""Entry points of the server choice experiments, which the registry loads."""

__all__ = (
    'run_drain',
    'run_fail_fast',
    'run_half_lost',
    'run_mixed',
    'run_noisy',
    'run_overload',
    'run_scenario',
    'run_services',
    'run_smoke',
    'run_steady',
    'run_straggler',
)

import asyncio
import json
from dataclasses import replace
from functools import partial

import msgspec

from zinniaturn.choosing import PRODUCT_POLICY
from zinniaturn.experiments.choosing.results import (
    Results,
    compare_with_baselines,
    summarize,
)
from zinniaturn.experiments.choosing.running import run_plan
from zinniaturn.experiments.choosing.scenarios import build_plan
from zinniaturn.experiments.choosing.tables import (
    format_results,
    format_timelines,
)
from zinniaturn.experiments.registry import ExperimentOptions

_SMOKE_SLICE_SECONDS = 1.9


def run_scenario(name: str, options: ExperimentOptions) -> int:
    """Run a scenario, write and print its results; return the exit status."""
    plan = build_plan(name, options)
    run = asyncio.run(run_plan(plan))
    results = summarize(plan, options.load, run.slices, run.rows, run.counts)
    file_name = '-'.join(
        (plan.name, plan.city.name, str(options.load), str(plan.seed)),
    )
    path = options.out / f'{file_name}.json'
    path.write_bytes(msgspec.json.encode(results))
    _print_results(results, options)
    return 0


def run_smoke(options: ExperimentOptions) -> int:
    """Run steady load on the main service, short enough to end within 45 s."""
    seconds = options.seconds or _SMOKE_SLICE_SECONDS
    return run_scenario('smoke', replace(options, seconds=seconds))


run_steady = partial(run_scenario, 'steady')
run_services = partial(run_scenario, 'services')
run_noisy = partial(run_scenario, 'noisy')
run_straggler = partial(run_scenario, 'straggler')
run_fail_fast = partial(run_scenario, 'fail-fast')
run_drain = partial(run_scenario, 'drain')
run_half_lost = partial(run_scenario, 'half-lost')
run_mixed = partial(run_scenario, 'mixed')
run_overload = partial(run_scenario, 'overload')


def _print_results(results: Results, options: ExperimentOptions) -> None:
    if not options.as_json:
        print(format_results(results))
        print(format_timelines(results))
    print(json.dumps(compare_with_baselines(results, PRODUCT_POLICY)))
