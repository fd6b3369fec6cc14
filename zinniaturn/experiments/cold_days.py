"""
Random days of cold servers, in virtual time, checked in each sliding second.

Servers start, restart and become cold while they run; the troubles of
`limit_days` come on top, and parts of the fleet are cut off from each other.
"""

__all__ = (
    'COLD_BOUNDS',
    'ColdViolation',
    'find_cold_violation',
    'play_cold_day',
    'run_cold_days',
    'run_large_cold_days',
)

import random
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from zinniaturn.admission.warm_up import warm_up_limit
from zinniaturn.experiments.limit_days import EVENTS, run_days
from zinniaturn.experiments.limit_model import LimitedServer, LimitModel
from zinniaturn.experiments.registry import ExperimentOptions

# The factor of a pool's rate and the number of requests on top of it.
COLD_BOUNDS = (1.5, 8)
_RATES = (2.7, 5.6)
_WINDOW_SECONDS = 1.0
_LOSS = 0.05
_DAY_SECONDS = 40.0
_SMALL_FLEET = 13
_SMALL_DAYS = 20
_LARGE_FLEET = 108
_LARGE_DAYS = 2
_MOST_SERVERS = 4
_REQUESTS_PER_SECOND = 150.0
_LONGEST_READ_SECONDS = 2.0
_SHORTEST_WARM_UP_SECONDS = 2.0
_LONGEST_WARM_UP_SECONDS = 12.0


@dataclass(frozen=True, slots=True)
class ColdViolation:
    """A second in which a cold server got more than the bound."""

    server: str
    start: float
    count: int


def find_cold_violation(
    server: LimitedServer, per_second: float
) -> ColdViolation | None:
    """
    Return the first second with too many requests to a cold server, if any.

    Seconds that lie within a time in which it was cold count, whatever its
    requests' VMs have been told.
    """
    overage, slack = COLD_BOUNDS
    most = per_second * overage + slack
    for number, start in enumerate(server.arrivals):
        end = start + _WINDOW_SECONDS
        if not any(
            begin <= start and end <= over for begin, over in server.cold_spans
        ):
            continue
        count = bisect_right(server.arrivals, end) - number
        if count > most:
            return ColdViolation(server.name, start, count)
    return None


def play_cold_day(size: int, seed: int) -> list[ColdViolation]:
    """Play a random day and return what broke the bound."""
    source = random.Random(seed)
    model = LimitModel(size, source.randint(1, _MOST_SERVERS), seed, _LOSS)
    per_second = source.choice(_RATES)
    model.warm_up = warm_up_limit(per_second, *COLD_BOUNDS)
    model.run(1)
    model.set_rates(model.fleet.vms, _REQUESTS_PER_SECOND)
    end = model.fleet.clock.monotonic() + _DAY_SECONDS
    while model.fleet.clock.monotonic() < end:
        model.run(source.uniform(0.2, 3))
        source.choice(_COLD_EVENTS)(model, source)
    model.run(_LONGEST_READ_SECONDS)
    found = [
        find_cold_violation(server, per_second) for server in model.servers
    ]
    return [violation for violation in found if violation is not None]


def run_cold_days(options: ExperimentOptions) -> int:
    """Play 20 days of 13 VMs from --seed on; return 1 if one broke the rule."""
    return run_days(options, play_cold_day, _SMALL_FLEET, _SMALL_DAYS)


def run_large_cold_days(options: ExperimentOptions) -> int:
    """Play 2 days of 108 VMs from --seed on; return 1 if one broke the rule."""
    return run_days(options, play_cold_day, _LARGE_FLEET, _LARGE_DAYS)


def _warm_up_seconds(source: random.Random) -> float:
    return source.uniform(_SHORTEST_WARM_UP_SECONDS, _LONGEST_WARM_UP_SECONDS)


def _become_cold(model: LimitModel, source: random.Random) -> None:
    model.become_cold(source.choice(model.servers), _warm_up_seconds(source))


def _all_become_cold(model: LimitModel, source: random.Random) -> None:
    seconds = _warm_up_seconds(source)
    for server in model.servers:
        model.become_cold(server, seconds)


def _restart_server(model: LimitModel, source: random.Random) -> None:
    model.restart_server(
        source.choice(model.servers),
        _warm_up_seconds(source),
        source.uniform(0, _LONGEST_READ_SECONDS),
    )


def _split(model: LimitModel, source: random.Random) -> None:
    """Cut the fleet into parts that don't reach each other."""
    parts = source.choice((2, 3, len(model.fleet.vms)))
    for vm in model.fleet.vms:
        vm.side = source.randrange(parts)
    model.fleet.schedule(source.uniform(0.5, 8), partial(_join_all, model))


def _join_all(model: LimitModel) -> None:
    for vm in model.fleet.vms:
        vm.side = 0


_COLD_EVENTS: tuple[Callable[[LimitModel, random.Random], None], ...] = (
    *EVENTS,
    _split,
    _split,
    _become_cold,
    _become_cold,
    _all_become_cold,
    _all_become_cold,
    _restart_server,
    _restart_server,
)
