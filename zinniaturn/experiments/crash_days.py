"""
Random days of requests that end servers, in virtual time.

Guilty requests come at any VM, beside innocent ones that come once, innocent
ones that callers repeat all the time, servers that end, flap or lose their
connections for reasons of their own, VMs that are paused, killed, started
again, cut off from others, and one that takes servers for ended that run. A day
is checked by the users' rule, and for innocent requests that were held.
"""

__all__ = (
    'CrashViolation',
    'play_day',
    'play_innocent_day',
    'run_crash_days',
    'run_innocent_days',
    'run_large_crash_days',
)

import json
import random
from collections.abc import Callable
from dataclasses import asdict, dataclass

import click

from zinniaturn.experiments.crash_disturbances import (
    DISTURBANCES,
    end_one,
)
from zinniaturn.experiments.crash_model import CrashModel
from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.experiments.vm_disturbances import (
    CONTACT_SECONDS,
    DisturbedTimes,
    is_near,
)
from zinniaturn.quarantine.request_key import RequestKey

ALLOWED_LATE_SENDS = 3
_CRASHES_BEFORE_RULE = 3
# Aimed at for a request of which each run ends its server.
AIMED_CRASHES = 5

_LOSS = 0.05
_DAY_SECONDS = 40.0
_SMALL_FLEET = 13
_SMALL_DAYS = 20
_LARGE_FLEETS = (97, 313)
_INNOCENT_RATE = 60.0
_REPEATED_KEYS = 12
_REPEATED_RATE = 25.0
_MOST_GUILTY = 4
_GUILTY_RATE = 3.0


@dataclass(frozen=True, slots=True)
class CrashViolation:
    """What a day has broken, by which request."""

    promise: str
    key: RequestKey
    detail: str


@dataclass(frozen=True, slots=True)
class CrashDay:
    """A day's violations, and the servers that each guilty request ended."""

    violations: tuple[CrashViolation, ...]
    crashes: tuple[int, ...]
    rejected_innocents: int
    served: int
    failed: int


def play_day(size: int, seed: int) -> CrashDay:
    """Play a random day with some guilty requests and all disturbances."""
    source = random.Random(seed)
    model = CrashModel(size, source.randint(6, 24), seed, _LOSS)
    disturbed: DisturbedTimes = {}
    model.fleet.run(1)
    end = model.now + _DAY_SECONDS
    _add_innocents(model, source, end)
    for key in range(1, source.randint(1, _MOST_GUILTY) + 1):
        model.guilty[key] = source.choice((1.0, 1.0, 1.0, 0.6))
        _add_guilty(model, source, key, end)
    _disturb(model, source, disturbed, end)
    return _check(model, disturbed)


def play_innocent_day(size: int, seed: int) -> CrashDay:
    """
    Play a day on which nobody is guilty and servers end all the time.

    A third of the servers flap, each at its own times, while callers repeat a
    few requests without an end.
    """
    source = random.Random(seed)
    model = CrashModel(size, source.randint(6, 24), seed, _LOSS)
    model.fleet.run(1)
    end = model.now + _DAY_SECONDS
    _add_innocents(model, source, end)
    flapping = source.sample(model.servers, max(2, len(model.servers) // 3))
    while model.now < end:
        model.fleet.run(source.uniform(0.02, 0.3))
        end_one(model, source, flapping)
    return _check(model, {})


def run_crash_days(options: ExperimentOptions) -> int:
    """Play 20 days of 13 VMs from --seed on; return 1 if one is broken."""
    seeds = range(options.seed, options.seed + _SMALL_DAYS)
    return _run(options, [(_SMALL_FLEET, seed) for seed in seeds], play_day)


def run_large_crash_days(options: ExperimentOptions) -> int:
    """Play a day of 97 and one of 313 VMs; return 1 if one is broken."""
    days = [(size, options.seed) for size in _LARGE_FLEETS]
    return _run(options, days, play_day)


def run_innocent_days(options: ExperimentOptions) -> int:
    """Play 20 days without a guilty request; return 1 if one was held."""
    seeds = range(options.seed, options.seed + _SMALL_DAYS)
    return _run(
        options, [(_SMALL_FLEET, seed) for seed in seeds], play_innocent_day
    )


def _run(
    options: ExperimentOptions,
    days: list[tuple[int, int]],
    play: Callable[[int, int], CrashDay],
) -> int:
    broken = {}
    for size, seed in days:
        day = play(size, seed)
        if day.violations:
            broken[f'{size}/{seed}'] = [asdict(one) for one in day.violations]
        if not options.as_json:
            click.echo(
                f'{size} VMs, seed {seed}: servers ended {day.crashes}, '
                f'innocents served {day.served}, failed {day.failed}, '
                f'{day.violations or "kept"}'
            )
    if options.as_json:
        click.echo(json.dumps({'days': len(days), 'broken': broken}))
    return int(bool(broken))


def _add_innocents(
    model: CrashModel, source: random.Random, end: float
) -> None:
    repeated = range(1000, 1000 + _REPEATED_KEYS)

    def fresh_key() -> RequestKey | None:
        return model.fresh_key() if model.now < end else None

    def repeated_key() -> RequestKey | None:
        return source.choice(repeated) if model.now < end else None

    model.add_stream(_INNOCENT_RATE, fresh_key)
    model.add_stream(_REPEATED_RATE, repeated_key)


def _add_guilty(
    model: CrashModel, source: random.Random, key: RequestKey, end: float
) -> None:
    def next_key() -> RequestKey | None:
        return key if model.now < end else None

    rate = source.uniform(0.3, 1) * _GUILTY_RATE
    model.fleet.schedule(
        source.uniform(0, 10), lambda: model.add_stream(rate, next_key)
    )


def _disturb(
    model: CrashModel,
    source: random.Random,
    disturbed: DisturbedTimes,
    end: float,
) -> None:
    while model.now < end:
        model.fleet.run(source.uniform(0.5, 4))
        source.choice(DISTURBANCES)(model, source, disturbed)


def _check(model: CrashModel, disturbed: DisturbedTimes) -> CrashDay:
    violations = [
        found
        for key, share in model.guilty.items()
        if share == 1
        and (found := _find_late_sends(model, key, disturbed)) is not None
    ]
    innocents = {
        key: count
        for key, count in model.rejected.items()
        if key not in model.guilty
    }
    violations.extend(
        CrashViolation('no innocent request is held', key, f'{count} times')
        for key, count in innocents.items()
    )
    return CrashDay(
        tuple(violations),
        tuple(len(model.crashes.get(key, ())) for key in model.guilty),
        sum(innocents.values()),
        model.served,
        model.failed,
    )


def _find_late_sends(
    model: CrashModel, key: RequestKey, disturbed: DisturbedTimes
) -> CrashViolation | None:
    """Check the users' rule, which VMs that were disturbed are excused from."""
    crashes = model.crashes.get(key, [])
    if len(crashes) < _CRASHES_BEFORE_RULE:
        return None
    since = crashes[_CRASHES_BEFORE_RULE - 1] + CONTACT_SECONDS
    late = [
        send
        for send in model.sends
        if send.key == key
        and send.at > since
        and not is_near(send.at, disturbed.get(send.vm, []))
    ]
    if len(late) <= ALLOWED_LATE_SENDS:
        return None
    return CrashViolation(
        'a request that ends servers is kept from them',
        key,
        f'{len(late)} sends, {len(crashes)} servers ended',
    )
