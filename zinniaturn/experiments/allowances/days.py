"""
Random days of a tenant with an allowance, checked by the bound.

VMs are paused, killed, stopped, started again and cut off, data centres are cut
off, half of the VMs are killed, all lose power, datagrams get lost or come
late, limits change, and callers send many times the rate, at random times that
may overlap.
"""

__all__ = ('Day', 'play_day', 'run_days', 'run_large_days')

import json
import random
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field

import click

from zinniaturn.experiments.allowances.check import (
    Violation,
    find_violations,
    refused_below,
)
from zinniaturn.experiments.allowances.model import BOUNDS, AllowanceModel
from zinniaturn.experiments.allowances.troubles import (
    TROUBLES,
    Trouble,
    send_usual,
    surge,
)
from zinniaturn.experiments.gossip_model import GossipModel
from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.tenants import Tenant

_LOSS = 0.05
_LATE = 0.01
_SMALL_FLEET = 13
_LARGE_FLEET = 108
_SMALL_DAYS = 200
_LARGE_DAYS = 10
_SMALL_SECONDS = 60.0
_LARGE_SECONDS = 30.0
# The longest times between troubles of a day.
_PACES = (2.0, 4.0, 8.0)
_ALLOWANCES = ((54, 54), (155, 155), (155, 0), (10, 10), (1, 1))


@dataclass(slots=True)
class Day:
    """What a day has shown; ``events`` are the times and kinds of troubles."""

    seed: int
    violations: list[Violation]
    arrived: int
    asked: int
    refused: int
    refused_below: int
    own_parts: int
    events: list[tuple[float, str]] = field(default_factory=list)


def play_day(
    size: int,
    seed: int,
    seconds: float,
    troubles: Mapping[str, Trouble] = TROUBLES,
) -> Day:
    """Play a random day; ``troubles`` are the kinds that occur."""
    source = random.Random(seed)
    fleet = GossipModel(size, seed, _LOSS)
    fleet.delayed_share = _LATE
    tenant = Tenant('gold', None, *source.choice(_ALLOWANCES))
    model = AllowanceModel(fleet, random.Random(seed), tenant)
    fleet.run(1)
    pace = source.choice(_PACES)
    source.choice((send_usual, surge))(model, source)
    names = list(troubles)
    events = []
    end = model.now + seconds
    while model.now < end:
        fleet.run(source.uniform(0.1, pace))
        name = source.choice(names)
        events.append((round(model.now, 3), name))
        troubles[name](model, source)
    fleet.run(BOUNDS.window_seconds)
    return Day(
        seed,
        find_violations(model.arrivals, model.documents, BOUNDS),
        len(model.arrivals),
        len(model.asked),
        len(model.refused),
        refused_below(model.refused, model.asked, model.documents, BOUNDS),
        len(model.own_parts),
        events,
    )


def run_days(options: ExperimentOptions) -> int:
    """Play 200 days of 13 VMs from --seed on; return 1 if one broke it."""
    return _run(options, _SMALL_FLEET, _SMALL_DAYS, _SMALL_SECONDS)


def run_large_days(options: ExperimentOptions) -> int:
    """Play 10 days of 108 VMs from --seed on; return 1 if one broke it."""
    return _run(options, _LARGE_FLEET, _LARGE_DAYS, _LARGE_SECONDS)


def _run(
    options: ExperimentOptions, size: int, days: int, seconds: float
) -> int:
    broken = {}
    asked = 0
    below = 0
    for seed in range(options.seed, options.seed + days):
        day = play_day(size, seed, seconds)
        asked += day.asked
        below += day.refused_below
        if day.violations:
            broken[seed] = [asdict(one) for one in day.violations]
        if not options.as_json:
            click.echo(
                f'{size} VMs, seed {seed}: {day.violations or "kept"}, '
                f'{day.refused_below} of {day.asked} refused below'
            )
    totals = {
        'days': days,
        'broken': broken,
        'asked': asked,
        'refused_below': below,
    }
    click.echo(json.dumps(totals))
    return int(bool(broken))
