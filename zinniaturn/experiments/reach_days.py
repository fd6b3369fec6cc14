"""
Random days on which VMs lose their links to the servers, in virtual time.

Any VMs, from one to all, lose their links, once or in turns, while VMs are
paused, killed, started again and cut off from each other. A day is checked by
the users' rule, and for what must not happen: requests that are passed on after
the cut, or while no VM reaches a server.
"""

__all__ = (
    'PathViolation',
    'measure_means',
    'play_day',
    'run_means',
    'run_reach_days',
)

import json
import random
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from functools import partial

import click

from zinniaturn.experiments.reach_model import Means, ModelTry, ReachModel
from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.experiments.vm_disturbances import (
    CONTACT_SECONDS,
    DisturbedTimes,
    is_near,
    note_disturbed,
    pause,
    separate,
)

_LOSS = 0.05
_DAY_SECONDS = 40.0
_FLEET = 13
_DAYS = 20
_CALLERS = 40
_REQUESTS_PER_SECOND = 60.0
_LEAST_SHARE = 2 / 3
_ALLOWED_FAILURES = 10
_ALLOWED_FAILED_SHARE = 1 / 50
_RETURN_SECONDS = 1.0
# No VM's response counts for longer, so that nothing is passed on after it.
_EVIDENCE_SECONDS = 2.0
_SAMPLED_SECONDS = (0, 1, 3, 6)


Disturbance = Callable[[ReachModel, random.Random, DisturbedTimes], None]


@dataclass(frozen=True, slots=True)
class PathViolation:
    """What a day has broken, and when."""

    promise: str
    at: float
    detail: str


@dataclass(frozen=True, slots=True)
class Cut:
    """A time without links: of some VMs, or of all if ``vms`` is ``None``."""

    began_at: float
    ended_at: float
    vms: frozenset[str] | None


def play_day(
    size: int, seed: int, means: Means | None = None
) -> list[PathViolation]:
    """Play a random day and return what it has broken."""
    source = random.Random(seed)
    model = ReachModel(size, seed, _LOSS, means)
    model.add_callers(_CALLERS, _REQUESTS_PER_SECOND)
    model.fleet.run(2)
    cuts: list[Cut] = []
    disturbed: DisturbedTimes = {}
    end = model.now + _DAY_SECONDS
    while model.now < end:
        cuts.append(_play_cut(model, source, disturbed))
        model.fleet.run(source.uniform(0.5, 4))
    violations = [_check_served(model, cut, disturbed) for cut in cuts]
    ends = [*(cut.began_at for cut in cuts[1:]), model.now]
    violations.extend(
        _check_passed_on(model, cut, until, disturbed)
        for cut, until in zip(cuts, ends, strict=True)
    )
    return [one for one in violations if one is not None]


def measure_means(size: int, cut: int, seed: int) -> dict[str, list[float]]:
    """
    Return the share of first tries served at cut-off VMs, by the means used.

    The shares are those of the seconds that begin 0, 1, 3 and 6 s after the
    cut; -1 stands for a second without a try there.
    """
    shares = {}
    for name, means in (
        ('none', Means(passes_on=False, leaves_lookups=False)),
        ('look-ups', Means(passes_on=False)),
        ('pass on', Means(leaves_lookups=False)),
        ('both', Means()),
    ):
        model = ReachModel(size, seed, _LOSS, means)
        model.add_callers(_CALLERS, _REQUESTS_PER_SECOND)
        model.fleet.run(3)
        model.cut = {vm.name for vm in model.fleet.vms[:cut]}
        began_at = model.now
        model.fleet.run(max(_SAMPLED_SECONDS) + 3)
        shares[name] = [
            _served_share(
                [
                    one
                    for one in model.tries
                    if one.was_cut
                    and second <= one.sent_at - began_at < second + 1
                ]
            )
            for second in _SAMPLED_SECONDS
        ]
    return shares


def run_reach_days(options: ExperimentOptions) -> int:
    """Play 20 days of 13 VMs from --seed on; return 1 if one is broken."""
    broken = {}
    for seed in range(options.seed, options.seed + _DAYS):
        violations = play_day(_FLEET, seed)
        if violations:
            broken[seed] = [asdict(one) for one in violations]
        if not options.as_json:
            click.echo(f'{_FLEET} VMs, seed {seed}: {violations or "kept"}')
    if options.as_json:
        click.echo(json.dumps({'days': _DAYS, 'broken': broken}))
    return int(bool(broken))


def run_means(options: ExperimentOptions) -> int:
    """Print what each means serves with 1, 8 and 12 of 13 VMs cut off."""
    figures = {
        f'{cut} of {_FLEET}': measure_means(_FLEET, cut, options.seed)
        for cut in (1, 8, 12)
    }
    if options.as_json:
        click.echo(json.dumps(figures))
        return 0
    for name, shares in figures.items():
        click.echo(f'{name} cut off, served after 0, 1, 3 and 6 s:')
        for means, row in shares.items():
            click.echo(f'  {means:10} {" ".join(f"{one:5.2f}" for one in row)}')
    return 0


def _play_cut(
    model: ReachModel,
    source: random.Random,
    disturbed: DisturbedTimes,
) -> Cut:
    """Cut some or all VMs off for a while, and disturb others meanwhile."""
    began_at = model.now
    if source.random() < 0.15:
        model.are_servers_down = True
        vms = None
    else:
        count = source.randint(1, len(model.fleet.vms) - 1)
        names = sorted(model.by_name)
        vms = frozenset(source.sample(names, count))
        model.cut = set(vms)
    until = began_at + source.uniform(1, 9)
    while model.now < until:
        model.fleet.run(min(until - model.now, source.uniform(0.3, 2)))
        if source.random() < 0.4:
            source.choice(_DISTURBANCES)(model, source, disturbed)
    model.cut = set()
    model.are_servers_down = False
    return Cut(began_at, model.now, vms)


def _check_served(
    model: ReachModel, cut: Cut, disturbed: DisturbedTimes
) -> PathViolation | None:
    """Check the users' rule on first tries at VMs that were cut off."""
    if cut.vms is None:
        return None
    counted = [
        one
        for one in model.tries
        if cut.began_at + CONTACT_SECONDS <= one.sent_at
        and one.sent_at + 1 < cut.ended_at
        and not _was_disturbed(one, disturbed)
    ]
    there = [one for one in counted if one.vm in cut.vms]
    others = [one for one in counted if one.vm not in cut.vms]
    failed = sum(not one.is_served for one in there)
    allowed = _ALLOWED_FAILURES + len(counted) * _ALLOWED_FAILED_SHARE
    if not (there and others) or failed <= allowed:
        return None
    shares = _served_share(there), _served_share(others)
    if shares[0] >= shares[1] * _LEAST_SHARE:
        return None
    return PathViolation('served while cut off', cut.began_at, str(shares))


def _check_passed_on(
    model: ReachModel,
    cut: Cut,
    until: float,
    disturbed: DisturbedTimes,
) -> PathViolation | None:
    """
    Check that nothing is passed on after a cut, or while all are cut off.

    ``until`` is the begin of the next cut.
    """
    spans = [(cut.ended_at + _RETURN_SECONDS, until)]
    if cut.vms is None:
        spans.append((cut.began_at + _EVIDENCE_SECONDS, cut.ended_at))
    late = [
        at
        for at, vm in model.passed_on_at
        for start, end in spans
        if start < at < end and not is_near(at, disturbed.get(vm, ()))
    ]
    if not late:
        return None
    return PathViolation('nothing passed on', late[0], f'{len(late)} times')


def _was_disturbed(one: ModelTry, disturbed: DisturbedTimes) -> bool:
    return is_near(one.sent_at, disturbed.get(one.vm, ()))


def _served_share(tries: Sequence[ModelTry]) -> float:
    if not tries:
        return -1
    return round(sum(one.is_served for one in tries) / len(tries), 3)


def _restart(
    model: ReachModel,
    source: random.Random,
    disturbed: DisturbedTimes,
) -> None:
    vm = source.choice(model.fleet.running())
    model.fleet.kill([vm])
    seconds = source.uniform(0.3, 3)
    version = vm.gossip.vms.own_status.version + 1
    model.fleet.schedule(seconds, partial(model.fleet.restart, vm, version))
    note_disturbed(disturbed, vm.name, model.now, seconds)


_DISTURBANCES: tuple[Disturbance, ...] = (
    lambda model, source, disturbed: pause(model.fleet, source, disturbed),
    _restart,
    lambda model, source, disturbed: separate(model.fleet, source, disturbed),
)
