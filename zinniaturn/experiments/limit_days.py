"""
Random days of servers with limits, in virtual time, checked by the users' rule.

Limits fall, rise, end and come back; callers move between VMs; VMs are paused,
killed, stopped, started again and cut off from others, all at random times that
may overlap. No VM is excused from the rule.
"""

__all__ = (
    'EVENTS',
    'LimitViolation',
    'find_violation',
    'play_day',
    'run_days',
    'run_large_limit_days',
    'run_limit_days',
)

import json
import random
from bisect import bisect_right
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from functools import partial
from typing import Any

import click

from zinniaturn.experiments.gossip_model import ModelVm
from zinniaturn.experiments.limit_model import LimitedServer, LimitModel
from zinniaturn.experiments.registry import ExperimentOptions

WINDOW_SECONDS = 4.0
# A limit binds from this time after the server first named it.
CONTACT_SECONDS = 3.0
_ALLOWED_FACTOR = 1.5
_ALLOWED_EXTRA = 5
# A limit that was just lowered is known to all VMs after this time.
_CHANGE_SECONDS = 1.0

_LOSS = 0.05
_DAY_SECONDS = 40.0
_SMALL_FLEET = 13
_SMALL_DAYS = 20
_LARGE_FLEET = 97
_LARGE_DAYS = 2
_MOST_SERVERS = 5
_LOWEST_LIMIT = 0.1
_HIGHEST_LIMIT = 60.0
_REQUESTS_PER_SECOND = 150.0


@dataclass(frozen=True, slots=True)
class LimitViolation:
    """A window in which a server got more than the rule allows."""

    server: str
    start: float
    count: int
    limit: float


def allowed_in_window(limit: float) -> int:
    """Return how many requests a server may get in 4 s."""
    return int(_ALLOWED_FACTOR * limit * WINDOW_SECONDS) + _ALLOWED_EXTRA


def find_violation(server: LimitedServer) -> LimitViolation | None:
    """
    Return the first window with too many requests to a server, if any.

    Only requests of processes that it had told count, as in the users' rule.
    A window counts if the server named a limit all the while, and since three
    seconds before. Allowed is what the highest of its limits in the window and
    the second before it allows.
    """
    times = server.told_arrivals
    for number, start in enumerate(times):
        end = start + WINDOW_SECONDS
        if None in _limits_between(server, start - CONTACT_SECONDS, end):
            continue
        recent = _limits_between(server, start - _CHANGE_SECONDS, end)
        limit = max(one for one in recent if one is not None)
        count = bisect_right(times, end) - number
        if count > allowed_in_window(limit):
            return LimitViolation(server.name, start, count, limit)
    return None


def play_day(size: int, seed: int) -> list[LimitViolation]:
    """Play a random day and return what broke the rule."""
    source = random.Random(seed)
    model = LimitModel(size, source.randint(1, _MOST_SERVERS), seed, _LOSS)
    model.run(1)
    model.set_rates(model.fleet.vms, _REQUESTS_PER_SECOND)
    for limited in model.servers:
        model.name_limit(limited, _random_limit(source))
    end = model.fleet.clock.monotonic() + _DAY_SECONDS
    while model.fleet.clock.monotonic() < end:
        model.run(source.uniform(0.2, 3))
        source.choice(EVENTS)(model, source)
    model.run(WINDOW_SECONDS)
    found = [find_violation(server) for server in model.servers]
    return [violation for violation in found if violation is not None]


def run_limit_days(options: ExperimentOptions) -> int:
    """Play 20 days of 13 VMs from --seed on; return 1 if one broke the rule."""
    return run_days(options, play_day, _SMALL_FLEET, _SMALL_DAYS)


def run_large_limit_days(options: ExperimentOptions) -> int:
    """Play 2 days of 97 VMs from --seed on; return 1 if one broke the rule."""
    return run_days(options, play_day, _LARGE_FLEET, _LARGE_DAYS)


def run_days(
    options: ExperimentOptions,
    play: Callable[[int, int], Sequence[Any]],
    size: int,
    days: int,
) -> int:
    """
    Play ``days`` days from --seed on, and print what broke the rule.

    ``play`` returns the violations of a day of ``size`` VMs with a seed, which
    are data classes. Returns the exit status: 1 if there were any.
    """
    broken = {}
    for seed in range(options.seed, options.seed + days):
        violations = play(size, seed)
        if violations:
            broken[seed] = [asdict(one) for one in violations]
        if not options.as_json:
            click.echo(f'{size} VMs, seed {seed}: {violations or "kept"}')
    if options.as_json:
        click.echo(json.dumps({'days': days, 'broken': broken}))
    return int(bool(broken))


def _limits_between(
    server: LimitedServer, start: float, end: float
) -> list[float | None]:
    """Return the limits named from ``start`` to ``end``, ``None`` for none."""
    before = [limit for time, limit in server.changes if time <= start]
    within = [limit for time, limit in server.changes if start < time <= end]
    return [before[-1] if before else None, *within]


def _random_limit(source: random.Random) -> float | None:
    if source.random() < 0.15:
        return None
    exponent = source.random()
    return float(_LOWEST_LIMIT * (_HIGHEST_LIMIT / _LOWEST_LIMIT) ** exponent)


def _change_limit(model: LimitModel, source: random.Random) -> None:
    model.name_limit(source.choice(model.servers), _random_limit(source))


def _move_callers(model: LimitModel, source: random.Random) -> None:
    vms = model.fleet.vms
    count = source.randint(1, len(vms))
    model.set_rates(source.sample(vms, count), _REQUESTS_PER_SECOND)


def _some(model: LimitModel, source: random.Random) -> list[ModelVm]:
    running = model.fleet.running()
    return source.sample(running, min(len(running), source.randint(1, 4)))


def _pause(model: LimitModel, source: random.Random) -> None:
    for vm in _some(model, source):
        model.fleet.pause(vm, source.uniform(0.2, 6))


def _kill(model: LimitModel, source: random.Random) -> None:
    for vm in _some(model, source):
        model.fleet.kill([vm])
        _start_later(model, vm, source.uniform(0.3, 4))


def _stop(model: LimitModel, source: random.Random) -> None:
    for vm in _some(model, source):
        model.fleet.stop(vm)
        _start_later(model, vm, source.uniform(1, 5))


def _start_later(model: LimitModel, vm: ModelVm, seconds: float) -> None:
    def start() -> None:
        model.fleet.kill([vm])
        version = vm.gossip.vms.own_status.version + 1
        model.fleet.restart(vm, version)

    model.fleet.schedule(seconds, start)


def _cut_off(model: LimitModel, source: random.Random) -> None:
    side = source.randint(1, 2)
    for vm in _some(model, source):
        vm.side = side
        model.fleet.schedule(source.uniform(0.5, 6), partial(_join, vm))


def _join(vm: ModelVm) -> None:
    vm.side = 0


EVENTS: tuple[Callable[[LimitModel, random.Random], None], ...] = (
    _change_limit,
    _change_limit,
    _move_callers,
    _pause,
    _kill,
    _stop,
    _cut_off,
)
