"""
The troubles of a day: of the VMs, of the network and of the callers.

Each is a function of the model and a random source.
"""

__all__ = ('TROUBLES', 'Trouble', 'send_usual', 'surge')

import random
from collections.abc import Callable, Mapping
from functools import partial
from types import MappingProxyType

from zinniaturn.experiments.allowances.model import AllowanceModel
from zinniaturn.experiments.gossip_model import ModelVm
from zinniaturn.tenants import Tenant

_USUAL_SHARE = 0.65
_SURGES = (4.0, 7.5)

Trouble = Callable[[AllowanceModel, random.Random], None]


def send_usual(model: AllowanceModel, source: random.Random) -> None:
    """Let callers send what they usually do."""
    rate = model.tenant.requests_per_second
    model.demand_per_second = rate * _USUAL_SHARE


def surge(model: AllowanceModel, source: random.Random) -> None:
    """Let callers send many times the rate."""
    rate = model.tenant.requests_per_second
    model.demand_per_second = rate * source.uniform(*_SURGES)


def _silence(model: AllowanceModel, source: random.Random) -> None:
    model.demand_per_second = 0


def _clump(model: AllowanceModel, source: random.Random) -> None:
    """Let callers send many requests together."""
    for _ in range(int(model.tenant.burst * source.uniform(0.3, 1.5))):
        model.arrive(source.choice(model.callers_vms))


def _move_callers(model: AllowanceModel, source: random.Random) -> None:
    vms = model.fleet.vms
    model.callers_vms = source.sample(vms, source.randint(1, len(vms)))


def _change_limit(model: AllowanceModel, source: random.Random) -> None:
    factor = source.choice((0.33, 0.5, 2, 3))
    tenant = model.tenant
    model.publish(
        Tenant(
            tenant.name,
            None,
            max(1, tenant.requests_per_second * factor),
            tenant.burst * factor,
        )
    )


def _some(model: AllowanceModel, source: random.Random) -> list[ModelVm]:
    running = model.fleet.running()
    return source.sample(running, min(len(running), source.randint(1, 4)))


def _pause(model: AllowanceModel, source: random.Random) -> None:
    for vm in _some(model, source):
        model.fleet.pause(vm, source.uniform(0.2, 6))


def _kill(model: AllowanceModel, source: random.Random) -> None:
    _kill_vms(model, source, _some(model, source))


def _kill_half(model: AllowanceModel, source: random.Random) -> None:
    running = model.fleet.running()
    _kill_vms(model, source, source.sample(running, len(running) // 2))


def _lose_power(model: AllowanceModel, source: random.Random) -> None:
    """Kill all VMs; they start again nearly at once."""
    seconds = source.uniform(0.3, 8)
    model.fleet.kill(model.fleet.vms)
    for vm in model.fleet.vms:
        _start_later(model, vm, seconds + source.uniform(0, 1))


def _kill_vms(
    model: AllowanceModel, source: random.Random, vms: list[ModelVm]
) -> None:
    model.fleet.kill(vms)
    for vm in vms:
        _start_later(model, vm, source.uniform(0.3, 5))


def _stop(model: AllowanceModel, source: random.Random) -> None:
    for vm in _some(model, source):
        model.fleet.stop(vm)
        _start_later(model, vm, source.uniform(1, 5))


def _start_later(model: AllowanceModel, vm: ModelVm, seconds: float) -> None:
    def start() -> None:
        model.fleet.kill([vm])
        version = vm.gossip.vms.own_status.version + 1
        model.fleet.restart(vm, version)

    model.fleet.schedule(seconds, start)


def _cut_off_some(model: AllowanceModel, source: random.Random) -> None:
    _cut_off(model, source, _some(model, source))


def _cut_off_data_centre(model: AllowanceModel, source: random.Random) -> None:
    place = source.choice(model.fleet.vms).record.data_center
    vms = [vm for vm in model.fleet.vms if vm.record.data_center == place]
    _cut_off(model, source, vms)


def _cut_off(
    model: AllowanceModel, source: random.Random, vms: list[ModelVm]
) -> None:
    side = source.randint(1, 2)
    seconds = source.uniform(0.5, 10)
    for vm in vms:
        vm.side = side
        model.fleet.schedule(seconds, partial(_join, vm))


def _join(vm: ModelVm) -> None:
    vm.side = 0


TROUBLES: Mapping[str, Trouble] = MappingProxyType(
    {
        'usual': send_usual,
        'surge': surge,
        'surge again': surge,
        'silence': _silence,
        'clump': _clump,
        'move callers': _move_callers,
        'change limit': _change_limit,
        'pause': _pause,
        'kill': _kill,
        'kill half': _kill_half,
        'power': _lose_power,
        'stop': _stop,
        'cut off some': _cut_off_some,
        'cut off data centre': _cut_off_data_centre,
    }
)
