"""
The experiments by name.

Each lives in a package of its own under `zinniaturn.experiments` and is
loaded when it is run.
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
    What the command line says of a run.

    ``load`` is a share of the slots' capacity.
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
    An experiment: its name, what it shows and ``module:function``.

    The function takes `ExperimentOptions` and returns the exit status; with
    ``as_json`` it prints one JSON object as its last line.
    """

    name: str
    summary: str
    target: str

    def load_function(self) -> Callable[[ExperimentOptions], int]:
        """Return the function that runs the experiment."""
        module_name, _, attribute = self.target.partition(':')
        function = getattr(importlib.import_module(module_name), attribute)
        return function  # type: ignore[no-any-return]


_EXPERIMENTS: tuple[Experiment, ...] = (
    Experiment(
        'gateway-start',
        'processor time to ready and peak memory of a gateway process',
        'zinniaturn.experiments.start:run_start',
    ),
    Experiment(
        'soak',
        'gateway processes under random faults from outside, by --seed',
        'zinniaturn.experiments.soak:run_soak',
    ),
    Experiment(
        'configuration-smoke',
        'operators, entries and a failing store, within 45 s',
        'zinniaturn.experiments.configuration:run_smoke',
    ),
    Experiment(
        'configuration-layouts',
        'store layouts by bytes, calls and times at two sizes',
        'zinniaturn.experiments.configuration.layouts:run_layouts',
    ),
    Experiment(
        'configuration-scaling',
        'what control costs an entry in fleets of 13 to 104',
        'zinniaturn.experiments.configuration.scaling:run_scaling',
    ),
    Experiment(
        'configuration',
        'the same for as long as --seconds says',
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
        'one server drains, then comes back cold',
        'zinniaturn.experiments.choosing.runners:run_drain',
    ),
    Experiment(
        'choosing-half-lost',
        'half of a pool is lost and comes back',
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
        'what at-most-once costs, by way of doing it',
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
        'requests per core with and without the record of decisions',
        'zinniaturn.experiments.speed.run:run_explain_cost',
    ),
    Experiment(
        'capacity-slopes',
        'memory and processor time of an entry by what it holds',
        'zinniaturn.experiments.speed.slopes:run_slopes',
    ),
    Experiment(
        'speed',
        'latency that an entry adds, and requests per core, at four loads',
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
