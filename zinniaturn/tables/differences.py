"""
Differences between two states of the tables, by row and by field.

Operators see them before a change is committed.
"""

__all__ = ('FieldChange', 'RowChange', 'compare_tables', 'format_changes')

import json
from collections.abc import Iterator, Mapping, Sequence
from types import MappingProxyType

import msgspec

from zinniaturn.tables.codec import models_of
from zinniaturn.tables.domain import Tables

_CHANGE_SIGNS = MappingProxyType({'added': '+', 'changed': '~', 'removed': '-'})

Row = Mapping[str, object]
Rows = Mapping[str, Row]


class FieldChange(msgspec.Struct, frozen=True):
    """A field's value before and after; ``None`` means unset."""

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
    """Return the changes as text, with one line per row and per field."""
    return '\n'.join(
        line for change in changes for line in _format_lines(change)
    )


def _rows_by_table(tables: Tables) -> Mapping[str, Rows]:
    routes, pools = models_of(tables)
    return {
        'route': {
            row.name: _flatten_row(row.model_dump(mode='json'))
            for row in routes
        },
        'pool': {
            row.name: _flatten_row(row.model_dump(mode='json')) for row in pools
        },
    }


def _flatten_row(row: dict[str, object]) -> Row:
    fields = {
        key: field_value for key, field_value in row.items() if key != 'servers'
    }
    servers = row.get('servers')
    if isinstance(servers, list):
        fields['servers'] = [server['name'] for server in servers]
        for server in servers:
            for key, field_value in server.items():
                fields[f'servers[{server["name"]}].{key}'] = field_value
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
            yield RowChange(_change_kind(earlier, later), table, name, fields)


def _change_kind(earlier: Row, later: Row) -> str:
    if not earlier:
        return 'added'
    return 'changed' if later else 'removed'


def _compare_fields(earlier: Row, later: Row) -> Iterator[FieldChange]:
    for field in dict.fromkeys((*earlier, *later)):
        before = earlier.get(field)
        after = later.get(field)
        if before != after:
            yield FieldChange(field, before, after)


def _format_lines(change: RowChange) -> Iterator[str]:
    yield f'{_CHANGE_SIGNS[change.change]} {change.table} {change.name}'
    for field in change.fields:
        yield f'    {field.field}: {_format_change(change, field)}'


def _format_change(change: RowChange, field: FieldChange) -> str:
    match change.change:
        case 'added':
            return _format_value(field.after)
        case 'removed':
            return _format_value(field.before)
    return f'{_format_value(field.before)} -> {_format_value(field.after)}'


def _format_value(field_value: object) -> str:
    return (
        'unset'
        if field_value is None
        else json.dumps(field_value, ensure_ascii=False)
    )
