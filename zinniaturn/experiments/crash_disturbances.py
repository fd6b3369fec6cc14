"""Disturbances of the random days of requests that end servers."""

__all__ = ('DISTURBANCES', 'Disturbance', 'end_one')

import random
from collections.abc import Callable
from functools import partial

from zinniaturn.experiments.crash_model import CrashModel
from zinniaturn.experiments.crash_parts import ModelServer
from zinniaturn.experiments.vm_disturbances import (
    DisturbedTimes,
    note_disturbed,
    pause,
    separate,
)

_FLAP_PERIOD_SECONDS = 0.7
_FLAP_DOWN_SECONDS = 0.35
_ERROR_PERIOD_SECONDS = 0.5
# A little more than half of the fleet.
_HALF = 0.55

Disturbance = Callable[[CrashModel, random.Random, DisturbedTimes], None]


def end_one(
    model: CrashModel, source: random.Random, among: list[ModelServer]
) -> None:
    """End one of some servers for less than a second."""
    up = [one for one in model.servers if one in among and one.is_up]
    if up:
        model.end_servers([source.choice(up)], source.uniform(0.5, 1.5))


def _crash_together(
    model: CrashModel,
    source: random.Random,
    disturbed: DisturbedTimes,
) -> None:
    count = max(1, round(len(model.servers) * 0.3))
    model.end_servers(source.sample(model.servers, count), source.uniform(1, 4))


def _flap(
    model: CrashModel,
    source: random.Random,
    disturbed: DisturbedTimes,
) -> None:
    servers = source.sample(model.servers, max(1, len(model.servers) // 5))
    for number in range(source.randint(2, 6)):
        model.fleet.schedule(
            number * _FLAP_PERIOD_SECONDS,
            partial(model.end_servers, servers, _FLAP_DOWN_SECONDS),
        )


def _break_connections(
    model: CrashModel,
    source: random.Random,
    disturbed: DisturbedTimes,
) -> None:
    for server in source.sample(model.servers, len(model.servers) // 2):
        model.break_connections(server)


def _restart(
    model: CrashModel,
    source: random.Random,
    disturbed: DisturbedTimes,
    share: float = 0.2,
) -> None:
    """Kill a share of the VMs, which start again without what they knew."""
    running = model.fleet.running()
    for vm in source.sample(running, max(1, round(len(running) * share))):
        seconds = source.uniform(0.3, 3)
        model.restart_vm(vm, seconds)
        note_disturbed(disturbed, vm.name, model.now, seconds)


def _err(
    model: CrashModel,
    source: random.Random,
    disturbed: DisturbedTimes,
) -> None:
    """Let a VM lose its connections again and again, and blame the servers."""
    vm = source.choice(model.fleet.vms)
    model.erring = {vm.name}
    for number in range(4):
        model.fleet.schedule(
            number * _ERROR_PERIOD_SECONDS,
            partial(_break_connections, model, source, disturbed),
        )


DISTURBANCES: tuple[Disturbance, ...] = (
    _crash_together,
    _flap,
    _break_connections,
    lambda model, source, disturbed: pause(model.fleet, source, disturbed),
    _restart,
    partial(_restart, share=_HALF),
    lambda model, source, disturbed: separate(model.fleet, source, disturbed),
    _err,
)
