"""
Explains requests, servers and VMs from the logs of gateway processes.

The logs are lines of JSON; a prefix before the JSON object, such as a log
collector adds, is skipped. A request is explained by its own log events, the
state changes that its VM logged in the seconds before, the ejections of its
servers on any VM, and the servers that ended as they ran copies of it.
"""

__all__ = ('LogRow', 'explain_from_logs', 'read_rows')

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from zinniaturn.events.catalogue import EVENTS, LogEvent
from zinniaturn.explain.messages import ExplanationLine
from zinniaturn.explain.queries import Subject, SubjectKind

_LOOKBACK_SECONDS = 5.0
_LONG_WAIT_MS = 50
_SLOW_FACTOR = 1.5
_STALE_STATE_MS = 1500
_MAX_LINES = 40
_MAX_CRASH_LINES = 20
_CRASH_EVENTS = frozenset(
    (
        LogEvent.CONNECTION_BROKEN,
        LogEvent.REQUEST_SUSPECTED,
        LogEvent.REQUEST_HELD,
        LogEvent.REQUEST_CLEARED,
    )
)
_STATE_EVENTS = frozenset(
    (
        LogEvent.TABLES_IN_FORCE,
        LogEvent.TABLES_REFUSED,
        LogEvent.SERVERS_CHANGED,
        LogEvent.FLEET_STORE_LOST,
        LogEvent.FLEET_STORE_BACK,
        LogEvent.STORE_WENT_BACK,
        LogEvent.SERVER_STATEMENT,
        LogEvent.SERVER_OUT,
        LogEvent.VM_SILENT,
        LogEvent.POOL_SILENT,
        LogEvent.PATH_LOST,
        LogEvent.PATH_RESTORED,
        LogEvent.GATEWAY_STOPPING,
    )
)
_REQUIRED_FIELDS = frozenset(('time', 'vm', 'event', 'message'))
_HEADER_FIELDS = _REQUIRED_FIELDS | {'dropped_before'}


@dataclass(frozen=True, slots=True)
class LogRow:
    """A log event of one VM; ``time`` is in seconds since the epoch."""

    time: float
    vm: str
    event: int
    fields: dict[str, Any]


def read_rows(lines: Iterable[bytes]) -> Iterator[LogRow]:
    """Yield the log events among the lines; other lines are skipped."""
    for line in lines:
        start = line.find(b'{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(fields, dict) and set(fields) >= _REQUIRED_FIELDS:
            yield LogRow(fields['time'], fields['vm'], fields['event'], fields)


def explain_from_logs(
    rows: Iterable[LogRow],
    subject: Subject,
) -> list[ExplanationLine]:
    """Return the latest events on a subject, the oldest first."""
    ordered = sorted(rows, key=lambda row: row.time)
    if subject.kind is SubjectKind.REQUEST:
        selected = _rows_of_request(ordered, subject.name)
    else:
        selected = [row for row in ordered if _mentions(row, subject.name)]
    return [
        ExplanationLine(
            row.time,
            row.vm,
            LogEvent(row.event).name,
            _describe_row(row),
            {
                key: value
                for key, value in row.fields.items()
                if isinstance(value, str | int | float)
            },
        )
        for row in selected[-_MAX_LINES:]
    ]


def _rows_of_request(rows: list[LogRow], request: str) -> list[LogRow]:
    own = [row for row in rows if row.fields.get('request') == request]
    servers = {
        server for row in own for server in row.fields.get('servers', ())
    }
    state_changes = [
        row
        for row in rows
        if row.event in _STATE_EVENTS
        and any(
            row.vm == own_row.vm
            and 0 <= own_row.time - row.time <= _LOOKBACK_SECONDS
            for own_row in own
        )
    ]
    other_ejections = [
        row
        for row in rows
        if row.event == LogEvent.SERVER_OUT
        and row.fields.get('server') in servers
        and row not in state_changes
    ]
    return sorted(
        [*state_changes, *other_ejections, *_crash_rows(rows, own), *own],
        key=lambda row: row.time,
    )


def _crash_rows(rows: list[LogRow], own: list[LogRow]) -> list[LogRow]:
    """
    Return what led to the verdict on a request: the crashes of its copies.

    Each server and each verdict is told once, by the VM that logged it first.
    """
    keys = {row.fields.get('key') for row in own} - {'', None}
    found: dict[tuple[int, Any], LogRow] = {}
    for told in rows:
        if told.event in _CRASH_EVENTS and told.fields.get('key') in keys:
            name = told.fields.get('server', told.fields.get('crashes'))
            found.setdefault((told.event, name), told)
    first = list(found.values())[:_MAX_CRASH_LINES]
    return [row for row in first if row not in own]


def _mentions(row: LogRow, name: str) -> bool:
    for key, value in row.fields.items():
        if key in _HEADER_FIELDS:
            continue
        if value == name or (isinstance(value, list) and name in value):
            return True
    if name in _withheld_servers(row.fields):
        return True
    return row.vm == name and row.event in _STATE_EVENTS


def _withheld_servers(fields: dict[str, Any]) -> list[str]:
    """Return the servers that a request was not sent to; see event 710."""
    return [text.partition(':')[0] for text in fields.get('withheld') or ()]


def _describe_row(row: LogRow) -> str:
    if row.event == LogEvent.REQUEST_ENDED and 'waited_ms' in row.fields:
        return _describe_request(row.fields)
    details = ', '.join(
        f'{key} {_format_value(value)}'
        for key, value in row.fields.items()
        if key not in _HEADER_FIELDS and value not in ('', [], None)
    )
    return f'{EVENTS[LogEvent(row.event)][1]}: {details}'


def _describe_request(fields: dict[str, Any]) -> str:
    servers = ', '.join(fields['servers']) or 'no server'
    return (
        f'request {fields["request"]} of route {fields["route"]} ended as '
        f'"{fields["outcome"]}" with {fields["status"]} after '
        f'{fields["milliseconds"]} ms; it waited {fields["waited_ms"]} ms, '
        f'{fields["probed"]} servers were probed, it was sent to {servers}. '
        f'{_likely_causes(fields)}'
    )


def _likely_causes(fields: dict[str, Any]) -> str:
    """Return the likely causes of a request's result, most important first."""
    load = fields.get('load') or [0, 0, 0, 0]
    causes = (
        (
            fields.get('state_age_ms', 0) > _STALE_STATE_MS,
            'The VM had lost contact with the store and the other VMs.',
        ),
        (
            bool(fields.get('passed_to')),
            'The VM had no path to the servers and passed the request on to '
            f'{", ".join(fields.get("passed_to") or ())}.',
        ),
        (
            bool(fields.get('taken_from')),
            f'It was passed on by {fields.get("taken_from")}.',
        ),
        (bool(fields.get('detail')), f'Reason: {fields.get("detail")}.'),
        (
            fields['waited_ms'] > _LONG_WAIT_MS,
            'It waited for a free slot: the pool was overloaded.',
        ),
        (load[-1] > _SLOW_FACTOR, 'Its server was slow when it was chosen.'),
        (
            fields['milliseconds'] > fields.get('expected_ms', 0) * 2,
            'Its server became slow after it was chosen.',
        ),
        (
            bool(fields.get('withheld')),
            f'Not sent to {", ".join(fields.get("withheld") or ())}.',
        ),
        (len(fields['servers']) > 1, 'A second server was tried.'),
        (
            fields.get('second_send') == 'not allowed',
            'A second server was not tried: the retry budget was used up.',
        ),
    )
    return ' '.join(text for applies, text in causes if applies)


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ' '.join(str(element) for element in value)
    return str(value)
