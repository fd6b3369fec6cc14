"""
Scenarios of the server choice experiments, each a change to a base plan.

``docs/MEASUREMENTS.md`` states the expected result of each scenario, written
before its first run.
"""

__all__ = ('SCENARIOS', 'build_plan')

from collections.abc import Callable, Mapping
from dataclasses import replace
from types import MappingProxyType

from zinniaturn.choosing import PRODUCT_POLICY
from zinniaturn.experiments.choosing.plan import (
    BASELINE_POLICIES,
    ORACLE_POLICY,
    Plan,
    TimedFaults,
    city_workloads,
)
from zinniaturn.experiments.cities import CITIES
from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.standins.backend_faults import BackendFaults

_SLICE_SECONDS = 4.0
_HALF_LOST_SLICE_SECONDS = 12.0
_OVERLOAD_SECONDS = 60.0
_BEFORE_OVERLOAD_SECONDS = 4.0
_AFTER_OVERLOAD_SECONDS = 8.0
_OVERLOAD_CAPACITY_SHARE = 1.3
_NOISY_TIME_SHARE = 0.3
_LONG_REQUEST_SHARE = 0.03
_STRAGGLER_SLOWDOWN = 10


def build_plan(name: str, options: ExperimentOptions) -> Plan:
    """Return the plan of a scenario, named without the ``choosing-`` prefix."""
    city = CITIES[options.city]
    plan = Plan(
        name=f'choosing-{name}',
        city=city,
        workloads=city_workloads(city, 1),
        policies=options.policies
        or (PRODUCT_POLICY, *BASELINE_POLICIES, ORACLE_POLICY),
        loads=((0, options.load),),
        seed=options.seed,
        slice_seconds=options.seconds or _SLICE_SECONDS,
    )
    return SCENARIOS[name](plan, options)


def _steady(plan: Plan, options: ExperimentOptions) -> Plan:
    return plan


def _services(plan: Plan, options: ExperimentOptions) -> Plan:
    return replace(plan, workloads=city_workloads(plan.city))


def _noisy(plan: Plan, options: ExperimentOptions) -> Plan:
    faults = BackendFaults(noise_share=_NOISY_TIME_SHARE)
    return _with_faults(plan, 0, range(plan.main_workload.servers), faults)


def _straggler(plan: Plan, options: ExperimentOptions) -> Plan:
    faults = BackendFaults(slowdown=_STRAGGLER_SLOWDOWN)
    return _with_faults(plan, 0, range(1), faults)


def _fail_fast(plan: Plan, options: ExperimentOptions) -> Plan:
    return _with_faults(plan, 1, range(1), BackendFaults(fail_fast=True))


def _drain(plan: Plan, options: ExperimentOptions) -> Plan:
    third = plan.slice_seconds / 3
    draining = _with_faults(
        plan,
        third,
        range(1),
        BackendFaults(draining=True),
    )
    cold = BackendFaults(cold_seconds=third)
    return _with_faults(draining, third * 2, range(1), cold)


def _half_lost(plan: Plan, options: ExperimentOptions) -> Plan:
    seconds = options.seconds or _HALF_LOST_SLICE_SECONDS
    plan = replace(plan, slice_seconds=seconds, rounds=1, deadline_seconds=1)
    half = range(plan.main_workload.servers // 2)
    lost = BackendFaults(is_lost=True)
    plan = _with_faults(plan, seconds / 4, half, lost)
    return _with_faults(plan, seconds / 2, half, BackendFaults())


def _mixed(plan: Plan, options: ExperimentOptions) -> Plan:
    mixed = replace(plan.main_workload, long_share=_LONG_REQUEST_SHARE)
    return replace(plan, workloads=(mixed,))


def _overload(plan: Plan, options: ExperimentOptions) -> Plan:
    seconds = options.seconds or _OVERLOAD_SECONDS
    overload_end = _BEFORE_OVERLOAD_SECONDS + seconds
    return replace(
        plan,
        loads=(
            (0, options.load),
            (_BEFORE_OVERLOAD_SECONDS, _OVERLOAD_CAPACITY_SHARE),
            (overload_end, 0.5),
        ),
        slice_seconds=overload_end + _AFTER_OVERLOAD_SECONDS,
        rounds=1,
        deadline_seconds=1,
        patience_seconds=3,
    )


def _with_faults(
    plan: Plan,
    after_seconds: float,
    servers: range,
    faults: BackendFaults,
) -> Plan:
    service = plan.main_workload.service
    timed_faults = TimedFaults(
        after_seconds,
        service,
        {f'{service}-{number}': faults for number in servers},
    )
    return replace(plan, faults=(*plan.faults, timed_faults))


SCENARIOS: Mapping[str, Callable[[Plan, ExperimentOptions], Plan]] = (
    MappingProxyType(
        {
            'smoke': _steady,
            'steady': _steady,
            'services': _services,
            'noisy': _noisy,
            'straggler': _straggler,
            'fail-fast': _fail_fast,
            'drain': _drain,
            'half-lost': _half_lost,
            'mixed': _mixed,
            'overload': _overload,
        }
    )
)
