"""
Explaining from logs alone.

The logs of any number of gateway processes are read as lines of JSON; whatever
stands before the object in a line, as a collector may put it there, is passed
over. What explains a request are its own lines and what its VM came to believe
a short time before.
"""

__all__ = ('LogRow', 'explain_from_logs', 'read_rows')

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from zinniaturn.events.catalogue import EVENTS, LogEvent
from zinniaturn.explain.messages import ExplanationLine
from zinniaturn.explain.queries import Subject, SubjectKind

_BEFORE_SECONDS = 5.0
_LONG_WAIT_MS = 50
_SLOW = 1.5
_OLD_STATE_MS = 1500
_MOST_LINES = 40
_BELIEFS = frozenset(
    (
        LogEvent.TABLES_IN_FORCE,
        LogEvent.TABLES_REFUSED,
        LogEvent.SERVERS_CHANGED,
        LogEvent.FLEET_STORE_LOST,
        LogEvent.FLEET_STORE_BACK,
        LogEvent.SERVER_OUT,
        LogEvent.VM_SILENT,
        LogEvent.GATEWAY_STOPPING,
    )
)
_REQUIRED = frozenset(('time', 'vm', 'event', 'message'))
_HEADER = _REQUIRED | {'dropped_before'}


@dataclass(frozen=True, slots=True)
class LogRow:
    """One line of a log."""

    time: float
    vm: str
    event: int
    fields: dict[str, Any]


def read_rows(lines: Iterable[bytes]) -> Iterator[LogRow]:
    """Yield the lines that are log events; others are passed over."""
    for line in lines:
        start = line.find(b'{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(fields, dict) and set(fields) >= _REQUIRED:
            yield LogRow(fields['time'], fields['vm'], fields['event'], fields)


def explain_from_logs(
    rows: Iterable[LogRow],
    subject: Subject,
) -> list[ExplanationLine]:
    """Return what the rows say on a subject, in the order of time."""
    known = sorted(rows, key=lambda row: row.time)
    if subject.kind is SubjectKind.REQUEST:
        chosen = _rows_of_request(known, subject.name)
    else:
        chosen = [row for row in known if _names(row, subject.name)]
    return [
        ExplanationLine(
            row.time,
            row.vm,
            LogEvent(row.event).name,
            _sentence(row),
            {
                key: each
                for key, each in row.fields.items()
                if isinstance(each, str | int | float)
            },
        )
        for row in chosen[-_MOST_LINES:]
    ]


def _rows_of_request(rows: list[LogRow], request: str) -> list[LogRow]:
    own = [row for row in rows if row.fields.get('request') == request]
    servers = {
        server for row in own for server in row.fields.get('servers', ())
    }
    before = [
        row
        for row in rows
        if row.event in _BELIEFS
        and any(
            row.vm == each.vm and 0 <= each.time - row.time <= _BEFORE_SECONDS
            for each in own
        )
    ]
    elsewhere = [
        row
        for row in rows
        if row.event == LogEvent.SERVER_OUT
        and row.fields.get('server') in servers
        and row not in before
    ]
    return sorted([*before, *elsewhere, *own], key=lambda row: row.time)


def _names(row: LogRow, name: str) -> bool:
    for key, stated in row.fields.items():
        if key in _HEADER:
            continue
        if stated == name or (isinstance(stated, list) and name in stated):
            return True
    return row.vm == name and row.event in _BELIEFS


def _sentence(row: LogRow) -> str:
    if row.event == LogEvent.REQUEST_ENDED and 'waited_ms' in row.fields:
        return _request_sentence(row.fields)
    stated = ', '.join(
        f'{key} {_text(each)}'
        for key, each in row.fields.items()
        if key not in _HEADER and each not in ('', [], None)
    )
    return f'{EVENTS[LogEvent(row.event)][1]}: {stated}'


def _request_sentence(fields: dict[str, Any]) -> str:
    servers = ', '.join(fields['servers']) or 'no server'
    return (
        f'request {fields["request"]} of route {fields["route"]} ended as '
        f'"{fields["outcome"]}" with {fields["status"]} after '
        f'{fields["milliseconds"]} ms; it waited {fields["waited_ms"]} ms, '
        f'{fields["probed"]} servers were probed, it was sent to {servers}. '
        f'{_cause(fields)}'
    )


def _cause(fields: dict[str, Any]) -> str:
    """Return the likely causes, the weightiest first."""
    load = fields.get('load') or [0, 0, 0, 0]
    causes = (
        (
            fields.get('state_age_ms', 0) > _OLD_STATE_MS,
            'The VM had lost the store and the other VMs.',
        ),
        (bool(fields.get('detail')), f'Reason: {fields.get("detail")}.'),
        (
            fields['waited_ms'] > _LONG_WAIT_MS,
            'It waited for a free slot: the pool was overloaded.',
        ),
        (load[-1] > _SLOW, 'Its server was slow when it was chosen.'),
        (
            fields['milliseconds'] > fields.get('expected_ms', 0) * 2,
            'Its server became slow after it was chosen.',
        ),
        (len(fields['servers']) > 1, 'A second server was tried.'),
        (
            fields.get('second_send') == 'not allowed',
            'A second server was wanted, but second sends were used up.',
        ),
    )
    return ' '.join(text for applies, text in causes if applies)


def _text(stated: Any) -> str:
    if isinstance(stated, list):
        return ' '.join(str(each) for each in stated)
    return str(stated)
