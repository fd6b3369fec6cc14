"""
Checks of the load balancer's guarantees after a soak.

They compare what callers received with what the servers ran.
"""

__all__ = ('Violation', 'check_guarantees')

from collections.abc import Iterator
from dataclasses import dataclass

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.experiments.soak.callers import Call
from zinniaturn.experiments.soak.deadly import DeadlyStream
from zinniaturn.experiments.soak.fleet import LinkCut, SoakFleet
from zinniaturn.experiments.soak.resources import (
    DESCRIPTORS,
    MEMORY_MEGABYTES,
    VmResources,
)
from zinniaturn.experiments.soak.vms import VmProcess

_PROPAGATION_SECONDS = 2.0
_STALL_EFFECT_SECONDS = 3.0
_ROUTE_TIMEOUT_SECONDS = 0.8
_TIMEOUT_MARGIN_SECONDS = 0.5
_SERVED_AFTER_STOP_SECONDS = 3.0
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_SUCCESS = 200
_NOT_FOUND = 404
_CONTACT_SECONDS = 3.0
_ALLOWED_FAILURES = 10
_ALLOWED_FAILED_SHARE = 1 / 50
_LEAST_SERVED_RATIO = 2 / 3
_CRASHES_BEFORE_RULE = 3
_ALLOWED_LATE_SENDS = 3
_BYTES_PER_MEGABYTE = 10**6


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken guarantee, the request that shows it, and the details."""

    promise: str
    request_id: str
    detail: str


def check_guarantees(
    fleet: SoakFleet,
    calls: list[Call],
    stalls: list[float],
) -> list[Violation]:
    """
    Return all violations.

    ``stalls`` are the times at which this process's own event loop was
    blocked; guarantees with a time bound are not checked shortly after them,
    because the measured times include the stall.
    """
    violations: list[Violation] = []
    for call in calls:
        violations.extend(_check_outcome(fleet, call))
        violations.extend(_check_response(fleet, call))
        if not _is_near(call.ended_at, stalls):
            violations.extend(_check_timing(fleet, call))
            violations.extend(_check_tables(fleet, call))
    violations.extend(_check_servers_that_left(fleet, calls, stalls))
    for cut in fleet.cuts:
        violations.extend(_check_served_while_cut(fleet, cut, calls, stalls))
    violations.extend(_check_any_served(calls))
    for vm in fleet.vms:
        violations.extend(_check_log(vm))
    violations.extend(_check_resources(fleet.resources))
    for stream in fleet.deadly_streams:
        violations.extend(_check_deadly(fleet, stream))
    return violations


def _check_log(vm: VmProcess) -> Iterator[Violation]:
    """Report the first unexpected exception that a VM has logged."""
    faults = (
        row for row in vm.log_rows() if row['event'] == LogEvent.GATEWAY_FAULT
    )
    first = next(faults, None)
    if first is not None:
        detail = f'{vm.name}: {first["where"]}: {first["reason"]}'
        yield Violation('no unexpected exception', '', detail)


def _check_resources(resources: VmResources) -> Iterator[Violation]:
    """Check that no process has ended by itself or taken too much."""
    for name in sorted(resources.ended):
        yield Violation('processes stay alive', '', name)
    for name, memory in resources.memory_bytes.items():
        if memory > MEMORY_MEGABYTES * _BYTES_PER_MEGABYTE:
            yield Violation('within memory', '', f'{name}: {memory} bytes')
    for name, descriptors in resources.descriptors.items():
        if descriptors > DESCRIPTORS:
            detail = f'{name}: {descriptors}'
            yield Violation('within descriptors', '', detail)


def _check_deadly(
    fleet: SoakFleet, stream: DeadlyStream
) -> Iterator[Violation]:
    """Check that a request that ends servers is kept from them."""
    target = stream.target.encode()
    ended_at = sorted(
        crash.at for crash in fleet.crashes.crashes if crash.target == target
    )
    if len(ended_at) < _CRASHES_BEFORE_RULE:
        return
    since = ended_at[_CRASHES_BEFORE_RULE - 1] + _CONTACT_SECONDS
    late = [
        request_id
        for request_id, vm in stream.vms.items()
        if stream.sent_at[request_id] > since
        and stream.sent_at[request_id] > vm.disturbed_until
        and _runs_of(fleet, request_id)
    ]
    if len(late) > _ALLOWED_LATE_SENDS:
        detail = f'{len(late)} sends, {len(ended_at)} servers ended'
        yield Violation('kept from servers that it ends', late[0], detail)


def _check_any_served(calls: list[Call]) -> Iterator[Violation]:
    if not any(call.status == _SUCCESS for call in calls):
        detail = f'none of {len(calls)} requests succeeded'
        yield Violation('requests are served', '', detail)


def _check_outcome(fleet: SoakFleet, call: Call) -> Iterator[Violation]:
    if call.route != 'posts':
        return
    runs = _execution_count(fleet, call)
    if runs > 1:
        yield Violation('at most once', call.request_id, f'ran {runs} times')
    if runs and call.status in _NOT_RUN_STATUSES:
        detail = f'told {call.status} though it ran'
        yield Violation('not run is true', call.request_id, detail)


def _check_response(fleet: SoakFleet, call: Call) -> Iterator[Violation]:
    if call.status != _SUCCESS:
        return
    bodies = {
        f'by-{soak_server.server.name}': soak_server.server.body
        for soak_server in fleet.all_servers()
    }
    body = bodies.get(call.signature, b'')
    if call.body != b'%b %b' % (call.request_id.encode(), body):
        detail = f'{len(call.body)} bytes of {call.signature!r}'
        yield Violation('whole answer of its own', call.request_id, detail)


def _check_timing(fleet: SoakFleet, call: Call) -> Iterator[Violation]:
    vm = call.vm
    if (
        call.was_cut_off
        and _execution_count(fleet, call)
        and _is_cut_by_planned_stop(call)
    ):
        detail = f'{vm.name} was stopping'
        yield Violation('a stop cuts nothing off', call.request_id, detail)
    if call.sent_at < vm.disturbed_until or call.was_cut_off:
        return
    seconds = call.ended_at - call.sent_at
    if seconds > _ROUTE_TIMEOUT_SECONDS + _TIMEOUT_MARGIN_SECONDS:
        detail = f'{seconds:.2f} s, {call.status} from {vm.name}'
        yield Violation('answered in time', call.request_id, detail)


def _is_cut_by_planned_stop(call: Call) -> bool:
    vm = call.vm
    stop_began_at = vm.stopping_since
    if stop_began_at is None or not (
        stop_began_at - 1
        < call.sent_at
        < stop_began_at + _SERVED_AFTER_STOP_SECONDS
    ):
        return False
    return not any(call.sent_at <= at <= call.ended_at for at in vm.killed_at)


def _check_tables(fleet: SoakFleet, call: Call) -> Iterator[Violation]:
    if _is_disturbed(fleet, call):
        return
    added_at = fleet.added_routes.get(call.route)
    if added_at is not None and call.sent_at > added_at + _PROPAGATION_SECONDS:
        if call.status == _NOT_FOUND:
            detail = f'{call.route} unknown to {call.vm.name}'
            yield Violation('tables in force', call.request_id, detail)
    removed_at = fleet.removed_routes.get(call.route)
    if (
        removed_at is not None
        and call.sent_at > removed_at + _PROPAGATION_SECONDS
    ):
        if call.status == _SUCCESS:
            detail = f'{call.route} still served by {call.vm.name}'
            yield Violation('tables in force', call.request_id, detail)


def _check_servers_that_left(
    fleet: SoakFleet,
    calls: list[Call],
    stalls: list[float],
) -> Iterator[Violation]:
    by_id = {call.request_id: call for call in calls}
    for soak_server in fleet.servers_that_left:
        assert soak_server.left_at is not None
        for encoded_id, received_at in soak_server.server.arrived_at.items():
            call = by_id.get(encoded_id.decode())
            late = received_at - soak_server.left_at - _PROPAGATION_SECONDS
            if call is None or late <= 0 or _is_near(received_at, stalls):
                continue
            if not _is_disturbed(fleet, call):
                detail = (
                    f'{soak_server.server.name} got it {late:.2f} s too late'
                )
                yield Violation('no new work', call.request_id, detail)


def _check_served_while_cut(
    fleet: SoakFleet, cut: LinkCut, calls: list[Call], stalls: list[float]
) -> Iterator[Violation]:
    """Compare first tries at VMs without links with those at the others."""
    counted = [
        call
        for call in calls
        if cut.began_at + _CONTACT_SECONDS <= call.sent_at < cut.ended_at - 1
        and call.sent_at > call.vm.disturbed_until
        and not _is_near(call.ended_at, stalls)
        and not _is_in_other_cut(fleet, cut, call)
    ]
    there = [call for call in counted if call.vm.host in cut.hosts]
    others = [call for call in counted if call.vm.host not in cut.hosts]
    failed = sum(call.status != _SUCCESS for call in there)
    allowed = _ALLOWED_FAILURES + len(counted) * _ALLOWED_FAILED_SHARE
    if not (there and others) or failed <= allowed:
        return
    shares = _served_share(there), _served_share(others)
    if shares[0] < shares[1] * _LEAST_SERVED_RATIO:
        detail = f'{shares[0]:.2f} of {len(there)}, others {shares[1]:.2f}'
        yield Violation('served while cut off', there[0].request_id, detail)


def _is_in_other_cut(fleet: SoakFleet, cut: LinkCut, call: Call) -> bool:
    return any(
        other is not cut
        and call.vm.host in other.hosts
        and other.began_at - 1 < call.sent_at < other.ended_at + 1
        for other in fleet.cuts
    )


def _served_share(calls: list[Call]) -> float:
    return sum(call.status == _SUCCESS for call in calls) / len(calls)


def _is_disturbed(fleet: SoakFleet, call: Call) -> bool:
    until = max(call.vm.disturbed_until, fleet.store_disturbed_until)
    return call.sent_at < until


def _is_near(time_point: float, stalls: list[float]) -> bool:
    return any(
        0 <= time_point - stall < _STALL_EFFECT_SECONDS for stall in stalls
    )


def _execution_count(fleet: SoakFleet, call: Call) -> int:
    return _runs_of(fleet, call.request_id)


def _runs_of(fleet: SoakFleet, request_id: str) -> int:
    encoded_id = request_id.encode()
    return sum(
        soak_server.server.runs.get(encoded_id, 0)
        for soak_server in fleet.all_servers()
    )
