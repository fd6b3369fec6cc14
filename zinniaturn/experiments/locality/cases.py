"""The cases of the model, with and without the decision when requests leave."""

__all__ = ('CASES', 'run_cases')

import asyncio
import json
from collections.abc import Mapping
from statistics import fmean
from types import MappingProxyType
from typing import Any

from zinniaturn.experiments.locality.model_server import ServerTraits
from zinniaturn.experiments.locality.play import Play
from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.locality.activation import LocalityMode

_EQUAL = MappingProxyType({'a': 32, 'b': 32, 'c': 32})
_UNEVEN = MappingProxyType({'a': 32, 'b': 42, 'c': 32})
_LOADS = (0.5, 0.7, 0.85, 0.95)
_NOISY_LOADS = (0.3, 0.5, 0.6, 0.7)
_NOISY = ServerTraits(noise=4, noise_share=0.3)
_MANY_VMS = 30
_PLAYS = 3
_SECONDS = 4.0
_NEVER_SECONDS = 1e9
_COLD_STEP_SECONDS = 0.2
_COLD_SHARE = 0.85


def _withhold(play: Play) -> None:
    """Let no VM send requests to the servers of a data centre."""
    for vm in play.model_vms:
        for candidate in vm.state.pools['pool'].values():
            if candidate.registered.server.data_center == 'a':
                candidate.admission.paused_until = _NEVER_SECONDS


def _warm_up(play: Play) -> None:
    """Let each VM send to few of a data centre's servers at a time."""
    loop = asyncio.get_running_loop()
    now = loop.time()
    for vm in play.model_vms:
        for candidate in vm.state.pools['pool'].values():
            if candidate.registered.server.data_center == 'a':
                is_cold = play.random_source.random() < _COLD_SHARE
                until = now + _COLD_STEP_SECONDS if is_cold else 0
                candidate.admission.paused_until = until
    if now < play.measured_from + play.seconds:
        loop.call_later(_COLD_STEP_SECONDS, _warm_up, play)


def _everywhere(traits: ServerTraits) -> dict[str, ServerTraits]:
    return dict.fromkeys(_EQUAL, traits)


def _in_a(load: float, traits: ServerTraits) -> dict[str, Any]:
    return {'servers': _EQUAL, 'load': load, 'traits': {'a': traits}}


_CROWDED_A = MappingProxyType({'a': 2.0, 'b': 1.0, 'c': 1.0})

# What `Play` gets, by the name of the case.
CASES: Mapping[str, dict[str, Any]] = MappingProxyType(
    {
        **{
            f'equal, {load}': {'servers': _EQUAL, 'load': load}
            for load in _LOADS
        },
        **{
            f'uneven, {load}': {'servers': _UNEVEN, 'load': load}
            for load in _LOADS
        },
        'full': {'servers': _EQUAL, 'load': 0.85, 'callers': _CROWDED_A},
        'evacuated': {'servers': _EQUAL, 'load': 0.5, 'prepare': _withhold},
        'cold': {'servers': _EQUAL, 'load': 0.5, 'prepare': _warm_up},
        'slow': _in_a(0.5, ServerTraits(slowness=3)),
        'dead servers': _in_a(0.3, ServerTraits(is_dead=True)),
        'false load': {
            **_in_a(0.7, ServerTraits(is_lying=True)),
            'callers': _CROWDED_A,
        },
        'false load, slow': _in_a(0.5, ServerTraits(slowness=3, is_lying=True)),
        'half of the VMs': {
            'servers': _UNEVEN,
            'load': 0.7,
            'dead_vm_share': 0.5,
        },
        'news 100 ms late': {
            'servers': _UNEVEN,
            'load': 0.85,
            'traits': _everywhere(ServerTraits(delay_seconds=0.1)),
        },
        **{
            f'noisy, {load}': {
                'servers': _UNEVEN,
                'load': load,
                'traits': _everywhere(_NOISY),
            }
            for load in _NOISY_LOADS
        },
        'noisy, 90 VMs': {
            'servers': _UNEVEN,
            'load': 0.5,
            'vms': _MANY_VMS,
            'traits': _everywhere(_NOISY),
        },
        '90 VMs, 0.1': {'servers': _UNEVEN, 'load': 0.1, 'vms': _MANY_VMS},
        '90 VMs, 0.85': {'servers': _UNEVEN, 'load': 0.85, 'vms': _MANY_VMS},
        'near': {'servers': _UNEVEN, 'load': 0.85, 'way_seconds': 0.0005},
    }
)


def run_cases(options: ExperimentOptions) -> int:
    """
    Print means for each case, without and with the decision.

    They are also written to ``data-centres.json`` and plotted.
    """
    rows = {}
    for name, case in CASES.items():
        rows[name] = [
            _means(case, is_enabled, options) for is_enabled in (False, True)
        ]
        print(name, 'without, with', *rows[name])
    options.out.mkdir(parents=True, exist_ok=True)
    path = options.out / 'data-centres.json'
    path.write_text(json.dumps(rows, indent=1))
    # Loading the library takes as long as a play.
    from zinniaturn.experiments.locality.plots import plot_rows

    plot_rows(rows, options.out / 'data-centres.png')
    return 0


def _means(
    case: dict[str, Any], is_enabled: bool, options: ExperimentOptions
) -> dict[str, float]:
    mode = LocalityMode.ON if is_enabled else LocalityMode.OFF
    rows = [
        Play(
            **case,
            seconds=options.seconds or _SECONDS,
            seed=options.seed + number,
            settings={'locality_mode': mode},
        )
        .run()
        .summary()
        for number in range(_PLAYS)
    ]
    return {
        name: round(fmean(row[name] for row in rows), 4) for name in rows[0]
    }
