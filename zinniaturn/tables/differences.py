"""
What differs between two states of the tables, row by row and field by field.

It is what operators see before a change is accepted.
"""

__all__ = ('FieldChange', 'RowChange', 'compare_tables', 'format_changes')

import json
from collections.abc import Iterator, Mapping, Sequence
from types import MappingProxyType

import msgspec

from zinniaturn.tables.codec import models_of
from zinniaturn.tables.domain import Tables

_SIGNS = MappingProxyType({'added': '+', 'changed': '~', 'removed': '-'})

Row = Mapping[str, object]
Rows = Mapping[str, Row]


class FieldChange(msgspec.Struct, frozen=True):
    """A field before and after; ``None`` where it is or was unset."""

    field: str
    before: object
    after: object


class RowChange(msgspec.Struct, frozen=True):
    """A row that was ``added``, ``changed`` or ``removed``."""

    change: str
    table: str
    name: str
    fields: tuple[FieldChange, ...]


def compare_tables(before: Tables, after: Tables) -> tuple[RowChange, ...]:
    """
    Return the changes from one state to another, pools first.

    >>> compare_tables(Tables(), Tables())
    ()
    """
    earlier = _rows_by_table(before)
    later = _rows_by_table(after)
    return tuple(
        change
        for table in ('pool', 'route')
        for change in _compare_rows(table, earlier[table], later[table])
    )


def format_changes(changes: Sequence[RowChange]) -> str:
    """Return the changes as text, with a line for each row and field."""
    return '\n'.join(line for change in changes for line in _lines(change))


def _rows_by_table(tables: Tables) -> Mapping[str, Rows]:
    routes, pools = models_of(tables)
    return {
        'route': {
            row.name: _flat(row.model_dump(mode='json')) for row in routes
        },
        'pool': {row.name: _flat(row.model_dump(mode='json')) for row in pools},
    }


def _flat(row: dict[str, object]) -> Row:
    fields = {key: text for key, text in row.items() if key != 'servers'}
    servers = row.get('servers')
    if isinstance(servers, list):
        fields['servers'] = [server['name'] for server in servers]
        for server in servers:
            for key, text in server.items():
                fields[f'servers[{server["name"]}].{key}'] = text
    return fields


def _compare_rows(
    table: str,
    before: Rows,
    after: Rows,
) -> Iterator[RowChange]:
    for name in sorted({*before, *after}):
        earlier = before.get(name, {})
        later = after.get(name, {})
        fields = tuple(_compare_fields(earlier, later))
        if fields:
            yield RowChange(_kind(earlier, later), table, name, fields)


def _kind(earlier: Row, later: Row) -> str:
    if not earlier:
        return 'added'
    return 'changed' if later else 'removed'


def _compare_fields(earlier: Row, later: Row) -> Iterator[FieldChange]:
    for field in dict.fromkeys((*earlier, *later)):
        before = earlier.get(field)
        after = later.get(field)
        if before != after:
            yield FieldChange(field, before, after)


def _lines(change: RowChange) -> Iterator[str]:
    yield f'{_SIGNS[change.change]} {change.table} {change.name}'
    for field in change.fields:
        yield f'    {field.field}: {_transition(change, field)}'


def _transition(change: RowChange, field: FieldChange) -> str:
    match change.change:
        case 'added':
            return _text(field.after)
        case 'removed':
            return _text(field.before)
    return f'{_text(field.before)} -> {_text(field.after)}'


def _text(shown: object) -> str:
    return 'unset' if shown is None else json.dumps(shown, ensure_ascii=False)
