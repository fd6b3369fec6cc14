"""The promises, checked against what callers and servers saw."""

__all__ = ('Violation', 'check_promises')

from collections.abc import Iterator
from dataclasses import dataclass

from zinniaturn.experiments.soak.callers import Call
from zinniaturn.experiments.soak.fleet import SoakFleet

_BOUND_SECONDS = 2.0
_TOUCH_SECONDS = 3.0
_ROUTE_SECONDS = 0.8
_HELD_SECONDS = 0.5
_SERVED_AFTER_STOP_SECONDS = 3.0
_PROMISES = frozenset((408, 421, 429, 503))
_SUCCESS = 200
_NOT_FOUND = 404


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken, by which request, and how."""

    promise: str
    request_id: str
    detail: str


def check_promises(
    fleet: SoakFleet,
    calls: list[Call],
    stalls: list[float],
) -> list[Violation]:
    """
    Return all that was broken.

    ``stalls`` are the moments at which this process itself stood still; what
    is bound in time is not judged around them.
    """
    found: list[Violation] = []
    for call in calls:
        found.extend(_check_outcome(fleet, call))
        found.extend(_check_answer(fleet, call))
        if not _is_near(call.ended_at, stalls):
            found.extend(_check_time(fleet, call))
            found.extend(_check_tables(fleet, call))
    found.extend(_check_leaving(fleet, calls, stalls))
    return found


def _check_outcome(fleet: SoakFleet, call: Call) -> Iterator[Violation]:
    if call.route != 'posts':
        return
    runs = _runs(fleet, call)
    if runs > 1:
        yield Violation('at most once', call.request_id, f'ran {runs} times')
    if runs and call.status in _PROMISES:
        detail = f'told {call.status} though it ran'
        yield Violation('not run is true', call.request_id, detail)


def _check_answer(fleet: SoakFleet, call: Call) -> Iterator[Violation]:
    if call.status != _SUCCESS:
        return
    bodies = {
        f'by-{each.server.name}': each.server.body
        for each in (*fleet.servers, *fleet.gone)
    }
    body = bodies.get(call.mark, b'')
    if call.body != b'%b %b' % (call.request_id.encode(), body):
        detail = f'{len(call.body)} bytes of {call.mark!r}'
        yield Violation('whole answer of its own', call.request_id, detail)


def _check_time(fleet: SoakFleet, call: Call) -> Iterator[Violation]:
    vm = call.vm
    if call.was_cut and _runs(fleet, call) and _is_planned_cut(call):
        detail = f'{vm.name} was stopping'
        yield Violation('a stop cuts nothing off', call.request_id, detail)
    if call.sent_at < vm.disturbed_until or call.was_cut:
        return
    seconds = call.ended_at - call.sent_at
    if seconds > _ROUTE_SECONDS + _HELD_SECONDS:
        detail = f'{seconds:.2f} s, {call.status} from {vm.name}'
        yield Violation('answered in time', call.request_id, detail)


def _is_planned_cut(call: Call) -> bool:
    vm = call.vm
    began = vm.stopping_since
    if began is None or not (
        began - 1 < call.sent_at < began + _SERVED_AFTER_STOP_SECONDS
    ):
        return False
    return not any(call.sent_at <= at <= call.ended_at for at in vm.killed_at)


def _check_tables(fleet: SoakFleet, call: Call) -> Iterator[Violation]:
    if _is_disturbed(fleet, call):
        return
    added = fleet.routes.get(call.route)
    if added is not None and call.sent_at > added + _BOUND_SECONDS:
        if call.status == _NOT_FOUND:
            detail = f'{call.route} unknown to {call.vm.name}'
            yield Violation('tables in force', call.request_id, detail)
    removed = fleet.removed.get(call.route)
    if removed is not None and call.sent_at > removed + _BOUND_SECONDS:
        if call.status == _SUCCESS:
            detail = f'{call.route} still served by {call.vm.name}'
            yield Violation('tables in force', call.request_id, detail)


def _check_leaving(
    fleet: SoakFleet,
    calls: list[Call],
    stalls: list[float],
) -> Iterator[Violation]:
    by_id = {call.request_id: call for call in calls}
    for each in fleet.gone:
        assert each.left_at is not None
        for raw, arrived in each.server.arrived_at.items():
            call = by_id.get(raw.decode())
            late = arrived - each.left_at - _BOUND_SECONDS
            if call is None or late <= 0 or _is_near(arrived, stalls):
                continue
            if not _is_disturbed(fleet, call):
                detail = f'{each.server.name} got it {late:.2f} s too late'
                yield Violation('no new work', call.request_id, detail)


def _is_disturbed(fleet: SoakFleet, call: Call) -> bool:
    until = max(call.vm.disturbed_until, fleet.store_disturbed_until)
    return call.sent_at < until


def _is_near(moment: float, stalls: list[float]) -> bool:
    return any(0 <= moment - stall < _TOUCH_SECONDS for stall in stalls)


def _runs(fleet: SoakFleet, call: Call) -> int:
    identity = call.request_id.encode()
    return sum(
        each.server.runs.get(identity, 0)
        for each in (*fleet.servers, *fleet.gone)
    )
