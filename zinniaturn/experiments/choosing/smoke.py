"""The quick form: steady load on the main service, all policies, 45 s."""

__all__ = ('run_smoke',)

import asyncio
import json

import msgspec

from zinniaturn.choosing import PRODUCT_POLICY
from zinniaturn.experiments.choosing.plan import (
    BASELINES,
    ORACLE,
    Plan,
    workloads_of,
)
from zinniaturn.experiments.choosing.results import chosen_over, summarize
from zinniaturn.experiments.choosing.running import run_plan
from zinniaturn.experiments.choosing.tables import table_of
from zinniaturn.experiments.cities import CITIES
from zinniaturn.experiments.registry import ExperimentOptions

_SLICE_SECONDS = 1.9
_ROUNDS = 2


def run_smoke(options: ExperimentOptions) -> int:
    """Run the quick form; return the exit status."""
    city = CITIES[options.city]
    plan = Plan(
        name='choosing-smoke',
        city=city,
        workloads=workloads_of(city, 1),
        policies=options.policies or (PRODUCT_POLICY, *BASELINES, ORACLE),
        loads=((0, options.load),),
        seed=options.seed,
        slice_seconds=options.seconds or _SLICE_SECONDS,
        rounds=_ROUNDS,
    )
    run = asyncio.run(run_plan(plan))
    results = summarize(plan, options.load, run.turns, run.rows, run.counts)
    name = f'{plan.name}-{city.name}-{options.load}-{options.seed}.json'
    (options.out / name).write_bytes(msgspec.json.encode(results))
    if not options.as_json:
        print(table_of(results))
    print(json.dumps(chosen_over(results, PRODUCT_POLICY)))
    return 0
