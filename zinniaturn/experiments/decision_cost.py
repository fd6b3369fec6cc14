"""
Measure the time of the decisions about servers with limits, by size of fleet.

Finding a server's owner, granting a permit and taking one are meant to cost the
same in a fleet of any size. The survey of a pool walks over its servers.
"""

__all__ = ('DecisionCost', 'measure_costs', 'run_decision_cost')

import json
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass

import click

from zinniaturn.admission.admission import Admission, ServerNotice
from zinniaturn.admission.grantor import PermitGrantor, PermitRequest
from zinniaturn.clock import ManualClock
from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.fleet.owner_ring import OwnerRing
from zinniaturn.reach.reach_table import ReachTable
from zinniaturn.reach.witnesses import PoolResponse

_VM_COUNTS = (13, 313, 924, 7192)
_SERVER_COUNTS = (33, 330, 3300, 26_000)
_CALLS = 2000
_SURVEYS = 5
_MICROSECONDS_PER_SECOND = 1e6
_LIMIT = 2.0
_POOL = 'pool'
_SILENT_SERVERS = 6


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """The mean time of one decision in microseconds, by number."""

    decision: str
    counted: str
    microseconds: dict[int, float]


def run_decision_cost(options: ExperimentOptions) -> int:
    """Print the costs; the status is always 0."""
    costs = measure_costs()
    if options.as_json:
        click.echo(json.dumps([asdict(cost) for cost in costs]))
        return 0
    for cost in costs:
        figures = ', '.join(
            f'{count}: {microseconds:.2f}'
            for count, microseconds in cost.microseconds.items()
        )
        click.echo(
            f'{cost.decision}, us by number of {cost.counted}: {figures}'
        )
    return 0


def measure_costs() -> list[DecisionCost]:
    """Return the costs of all decisions."""
    return [
        DecisionCost(
            'owner of a server',
            'VMs',
            {count: _time_owner(count) for count in _VM_COUNTS},
        ),
        DecisionCost(
            'grant of a permit',
            'limited servers',
            {count: _time_grant(count) for count in _SERVER_COUNTS},
        ),
        DecisionCost(
            'survey of one pool',
            'servers in it',
            {count: _time_survey(count) for count in _SERVER_COUNTS},
        ),
        DecisionCost(
            'path to a pool that responds',
            'VMs',
            {count: _time_open_path(count) for count in _VM_COUNTS},
        ),
        DecisionCost(
            'path to a pool that is lost',
            'VMs',
            {count: _time_lost_path(count) for count in _VM_COUNTS},
        ),
    ]


def _time_owner(vm_count: int) -> float:
    ring = OwnerRing()
    for vm in range(vm_count):
        ring.add(f'vm-{vm}')
    return _mean(lambda number: ring.owner(f's-{number}'), _CALLS)


def _time_grant(server_count: int) -> float:
    grantor = PermitGrantor()

    def grant(number: int) -> None:
        server = f's-{number % server_count}'
        request = PermitRequest('vm-1', number, server, 1, 1, _LIMIT, 0)
        grantor.grant(request, 1, number)

    for first in range(server_count):
        grant(first)
    return _mean(grant, _CALLS)


def _time_survey(server_count: int) -> float:
    clock = ManualClock()
    admissions = [
        Admission(clock, ServerNotice(f's-{number}', 1))
        for number in range(server_count)
    ]
    return _mean(
        lambda number: [one for one in admissions if not one.withholding()],
        _SURVEYS,
    )


def _time_open_path(vm_count: int) -> float:
    reach = _reach(vm_count)
    reach.own.note_response(_POOL)
    return _mean(lambda number: reach.decide(_POOL, is_relayed=False), _CALLS)


def _time_lost_path(vm_count: int) -> float:
    reach = _reach(vm_count)
    for number in range(_SILENT_SERVERS):
        reach.own.note_tried(_POOL, f's-{number}')
    reach.clock.now += 1  # type: ignore[attr-defined]
    now = reach.clock.monotonic()
    for vm in range(vm_count):
        reach.learn(f'vm-{vm}', (), [PoolResponse(_POOL, f'vm-{vm}', now)])
    return _mean(lambda number: reach.decide(_POOL, is_relayed=False), _CALLS)


def _reach(vm_count: int) -> ReachTable:
    reach = ReachTable(ManualClock(), 'vm-own', lambda: vm_count)
    reach.own.retain({_POOL: _SILENT_SERVERS})
    return reach


def _mean(call: Callable[[int], object], count: int) -> float:
    started_at = time.perf_counter()
    for number in range(count):
        call(number)
    seconds = time.perf_counter() - started_at
    return seconds / count * _MICROSECONDS_PER_SECOND
