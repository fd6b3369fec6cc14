"""
Registry of the experiments that the command line can run.

An experiment's module is imported only when the experiment is run.
"""

__all__ = ('Experiment', 'ExperimentOptions', 'experiments')

import importlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType


@dataclass(frozen=True, slots=True)
class ExperimentOptions:
    """
    Command-line options of a run.

    ``load`` is relative to the capacity of all slots.
    """

    city: str
    load: float
    seed: int
    policies: tuple[str, ...]
    seconds: float | None
    out: Path
    as_json: bool


@dataclass(frozen=True, slots=True)
class Experiment:
    """
    An experiment's name, summary and target (``module:function``).

    The target function takes `ExperimentOptions` and returns the exit status;
    with ``as_json`` it prints one JSON object as its last line.
    """

    name: str
    summary: str
    target: str

    def load_function(self) -> Callable[[ExperimentOptions], int]:
        """Import and return the target function."""
        module_name, _, attribute = self.target.partition(':')
        function = getattr(importlib.import_module(module_name), attribute)
        return function  # type: ignore[no-any-return]


_EXPERIMENTS: tuple[Experiment, ...] = (
    Experiment(
        'gateway-start',
        'CPU time until ready and peak memory of a gateway process',
        'zinniaturn.experiments.start:run_start',
    ),
    Experiment(
        'decision-cost',
        'microseconds of the decisions about limited servers, by fleet size',
        'zinniaturn.experiments.decision_cost:run_decision_cost',
    ),
    Experiment(
        'limits',
        '20 random days of servers with limits before 13 VMs, from --seed on',
        'zinniaturn.experiments.limit_days:run_limit_days',
    ),
    Experiment(
        'paths',
        '20 random days of 13 VMs that lose their links, from --seed on',
        'zinniaturn.experiments.reach_days:run_reach_days',
    ),
    Experiment(
        'crashes',
        '20 random days of requests that end servers before 13 VMs',
        'zinniaturn.experiments.crash_days:run_crash_days',
    ),
    Experiment(
        'crashes-large',
        'a random day of requests that end servers before 97 and 313 VMs',
        'zinniaturn.experiments.crash_days:run_large_crash_days',
    ),
    Experiment(
        'crashes-innocent',
        '20 random days of servers that end by themselves before 13 VMs',
        'zinniaturn.experiments.crash_days:run_innocent_days',
    ),
    Experiment(
        'path-means',
        'first tries served at VMs without links, by the means used',
        'zinniaturn.experiments.reach_days:run_means',
    ),
    Experiment(
        'limits-large',
        '2 random days of servers with limits before 97 VMs, from --seed on',
        'zinniaturn.experiments.limit_days:run_large_limit_days',
    ),
    Experiment(
        'cold',
        '20 random days of cold servers before 13 VMs, from --seed on',
        'zinniaturn.experiments.cold_days:run_cold_days',
    ),
    Experiment(
        'cold-large',
        '2 random days of cold servers before 108 VMs, from --seed on',
        'zinniaturn.experiments.cold_days:run_large_cold_days',
    ),
    Experiment(
        'allowances',
        '200 random days of a tenant with an allowance before 13 VMs',
        'zinniaturn.experiments.allowances.days:run_days',
    ),
    Experiment(
        'allowances-large',
        '10 random days of a tenant with an allowance before 108 VMs',
        'zinniaturn.experiments.allowances.days:run_large_days',
    ),
    Experiment(
        'data-centres',
        'what leaves data centres in 24 cases, without and with the decision',
        'zinniaturn.experiments.locality.cases:run_cases',
    ),
    Experiment(
        'soak',
        'gateway processes under random injected faults, by --seed',
        'zinniaturn.experiments.soak:run_soak',
    ),
    Experiment(
        'planned',
        'gateway processes under planned work alone, by --seed',
        'zinniaturn.experiments.planned:run_planned',
    ),
    Experiment(
        'configuration-smoke',
        'operators and entries with a failing store, within 45 s',
        'zinniaturn.experiments.configuration:run_smoke',
    ),
    Experiment(
        'configuration-layouts',
        'store layouts: bytes, calls and times at two sizes',
        'zinniaturn.experiments.configuration.layouts:run_layouts',
    ),
    Experiment(
        'configuration-scaling',
        'control-plane cost of an entry in fleets of 13 to 104',
        'zinniaturn.experiments.configuration.scaling:run_scaling',
    ),
    Experiment(
        'configuration',
        'operators and entries with a failing store, for --seconds',
        'zinniaturn.experiments.configuration:run_full',
    ),
    Experiment(
        'choosing-steady',
        'all policies on steady load of the main service',
        'zinniaturn.experiments.choosing.runners:run_steady',
    ),
    Experiment(
        'choosing-services',
        'steady load on all four services of a city',
        'zinniaturn.experiments.choosing.runners:run_services',
    ),
    Experiment(
        'choosing-noisy',
        'neighbours halve servers for 5 to 50 ms, 30 % of the time',
        'zinniaturn.experiments.choosing.runners:run_noisy',
    ),
    Experiment(
        'choosing-straggler',
        'one server takes ten times as long',
        'zinniaturn.experiments.choosing.runners:run_straggler',
    ),
    Experiment(
        'choosing-fail-fast',
        'one server fails at once with errors',
        'zinniaturn.experiments.choosing.runners:run_fail_fast',
    ),
    Experiment(
        'choosing-drain',
        'one server drains, then restarts cold',
        'zinniaturn.experiments.choosing.runners:run_drain',
    ),
    Experiment(
        'choosing-half-lost',
        'half of a pool fails and recovers',
        'zinniaturn.experiments.choosing.runners:run_half_lost',
    ),
    Experiment(
        'choosing-mixed',
        '3 in 100 requests take ten times as long',
        'zinniaturn.experiments.choosing.runners:run_mixed',
    ),
    Experiment(
        'choosing-overload',
        '1.3 times capacity for a minute',
        'zinniaturn.experiments.choosing.runners:run_overload',
    ),
    Experiment(
        'choosing-smoke',
        'all policies on steady load, within 45 s',
        'zinniaturn.experiments.choosing.runners:run_smoke',
    ),
    Experiment(
        'keys',
        'cost of at-most-once execution by kind of key',
        'zinniaturn.experiments.outcomes.keys:run_keys',
    ),
    Experiment(
        'outcomes',
        'soak of 13 entries and 100,000 non-idempotent requests',
        'zinniaturn.experiments.outcomes.run:run_soak',
    ),
    Experiment(
        'outcomes-smoke',
        'the same with 4 entries, within 45 s',
        'zinniaturn.experiments.outcomes.run:run_smoke',
    ),
    Experiment(
        'explain-cost',
        'requests per core with and without decision records',
        'zinniaturn.experiments.speed.run:run_explain_cost',
    ),
    Experiment(
        'capacity-slopes',
        'memory and CPU time of an entry per connection, request and server',
        'zinniaturn.experiments.speed.slopes:run_slopes',
    ),
    Experiment(
        'speed',
        'added latency and requests per core of an entry at four loads',
        'zinniaturn.experiments.speed.run:run_speed',
    ),
    Experiment(
        'speed-smoke',
        'the same at one load, within 45 s',
        'zinniaturn.experiments.speed.run:run_speed_smoke',
    ),
)


def experiments() -> Mapping[str, Experiment]:
    """Return the experiments by name."""
    return MappingProxyType(
        {experiment.name: experiment for experiment in _EXPERIMENTS}
    )
