"""
Which requests planned work has cut off.

A request counts if a server ran it, or its process held it for longer than the
time that a close may take to cross it, and its connection ended without a whole
response before the request's time was over.
"""

__all__ = ('LostCall', 'find_lost')

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.experiments.planned.callers import PlannedCall
from zinniaturn.experiments.planned.work import WorkNote
from zinniaturn.experiments.soak.fleet import SoakFleet

_SLACK_SECONDS = 0.2
_NEAR_SECONDS = 8.0
_MOST_NOTES = 6


@dataclass(frozen=True, slots=True)
class LostCall:
    """A request that was cut off, and what was known of it."""

    request_id: str
    vm: str
    phase: str
    seconds: float
    connection_age: float
    place: int
    work: tuple[str, ...]
    log_line: dict[str, Any] | None


def find_lost(
    fleet: SoakFleet, calls: Iterable[PlannedCall], notes: list[WorkNote]
) -> Iterator[LostCall]:
    """Return the requests that were cut off before their time was over."""
    rows = {
        row.get('request'): row
        for vm in fleet.vms
        for row in vm.log_rows()
        if row['event'] == LogEvent.REQUEST_ENDED
    }
    for call in calls:
        runs = _runs(fleet, call.request_id)
        if not _is_lost(call, runs):
            continue
        yield LostCall(
            call.request_id,
            call.vm.name,
            'sent to a server' if runs else 'read or waiting',
            round(call.ended_at - call.sent_at, 3),
            round(call.sent_at - call.connected_at, 3),
            call.place,
            tuple(_describe(call, note) for note in _near(call, notes)),
            rows.get(call.request_id),
        )


def _is_lost(call: PlannedCall, runs: int) -> bool:
    """Return whether a request was cut off before its time was over."""
    if call.status or call.gave_up or not call.ended_at:
        return False
    seconds = call.ended_at - call.sent_at
    if seconds >= min(call.kind.timeout, call.kind.wait):
        return False
    # One behind another that was not passed on counts as not read.
    is_unread = call.place > 0 or seconds <= _SLACK_SECONDS
    return bool(runs) or not is_unread


def _runs(fleet: SoakFleet, request_id: str) -> int:
    encoded = request_id.encode()
    return sum(one.server.runs[encoded] for one in fleet.all_servers())


def _near(call: PlannedCall, notes: list[WorkNote]) -> list[WorkNote]:
    """Return the last work before a request ended, at its VM or at none."""
    near = [
        note
        for note in notes
        if note.vm in {'', call.vm.name}
        and call.ended_at - _NEAR_SECONDS < note.at < call.ended_at
    ]
    return near[-_MOST_NOTES:]


def _describe(call: PlannedCall, note: WorkNote) -> str:
    return f'{note.name} {call.sent_at - note.at:.2f} s before it was sent'
