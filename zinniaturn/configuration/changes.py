"""
Changes to the tables, as pure functions.

A change consists of the affected rows before and after it. Changes that touch
different rows can be applied in either order; changes that touch the same row
overlap.
"""

__all__ = (
    'Change',
    'apply_change',
    'diff_tables',
    'invert',
    'overlapping_rows',
)

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TypeVar

from zinniaturn.configuration.edits import check_references, check_unused
from zinniaturn.configuration.exceptions import OverlapError
from zinniaturn.tables.domain import Pool, Route, Tables

Row = TypeVar('Row', Route, Pool)


@dataclass(frozen=True, slots=True)
class Change:
    """
    The touched rows: those in ``before`` are removed, those in ``after`` added.

    A row in both is replaced. The revision numbers of the two are not used.
    """

    before: Tables
    after: Tables

    def is_empty(self) -> bool:
        """Return whether the change touches no row."""
        return not self.touched_routes() and not self.touched_pools()

    def touched_routes(self) -> frozenset[str]:
        """Return the names of the touched routes."""
        return frozenset((*self.before.routes, *self.after.routes))

    def touched_pools(self) -> frozenset[str]:
        """Return the names of the touched pools."""
        return frozenset((*self.before.pools, *self.after.pools))


def diff_tables(base: Tables, edited: Tables) -> Change:
    """
    Return the change that leads from ``base`` to ``edited``.

    >>> diff_tables(Tables(), Tables()).is_empty()
    True
    """
    routes = _differing_names(base.routes, edited.routes)
    pools = _differing_names(base.pools, edited.pools)
    return Change(
        Tables(
            0,
            _select_rows(base.routes, routes),
            _select_rows(base.pools, pools),
        ),
        Tables(
            0,
            _select_rows(edited.routes, routes),
            _select_rows(edited.pools, pools),
        ),
    )


def invert(change: Change) -> Change:
    """Return the change that reverts this one."""
    return Change(change.after, change.before)


def overlapping_rows(change: Change, tables: Tables) -> tuple[str, ...]:
    """
    Return the touched rows that differ from ``change.before`` in ``tables``.

    Each is given as ``route NAME`` or ``pool NAME``.
    """
    routes = _rows_changed_since(
        change.touched_routes(), change.before.routes, tables.routes
    )
    pools = _rows_changed_since(
        change.touched_pools(), change.before.pools, tables.pools
    )
    return (
        *(f'route {name}' for name in routes),
        *(f'pool {name}' for name in pools),
    )


def apply_change(change: Change, tables: Tables) -> Tables:
    """
    Return ``tables`` with the change applied, at the same revision.

    Raises `OverlapError`, whose message shows both versions, if a touched row
    has changed since; `PoolInUseError` if a route still refers to a deleted
    pool; and `DanglingRouteError` if a route names a missing pool.
    """
    overlap = overlapping_rows(change, tables)
    if overlap:
        raise OverlapError(_describe_overlap(overlap, change, tables))
    changed = replace(
        tables,
        routes=_replace_rows(
            tables.routes, change.before.routes, change.after.routes
        ),
        pools=_replace_rows(
            tables.pools, change.before.pools, change.after.pools
        ),
    )
    check_unused(changed, change.before.pools.keys() - changed.pools.keys())
    check_references(changed)
    return changed


def _differing_names(
    before: Mapping[str, Row],
    after: Mapping[str, Row],
) -> frozenset[str]:
    return frozenset(
        name
        for name in (*before, *after)
        if before.get(name) != after.get(name)
    )


def _select_rows(
    rows: Mapping[str, Row], names: frozenset[str]
) -> dict[str, Row]:
    return {name: rows[name] for name in names if name in rows}


def _rows_changed_since(
    names: frozenset[str],
    expected: Mapping[str, Row],
    current: Mapping[str, Row],
) -> list[str]:
    return sorted(
        name for name in names if expected.get(name) != current.get(name)
    )


def _replace_rows(
    rows: Mapping[str, Row],
    removed: Mapping[str, Row],
    added: Mapping[str, Row],
) -> dict[str, Row]:
    kept = {name: row for name, row in rows.items() if name not in removed}
    return {**kept, **added}


def _describe_overlap(
    overlap: tuple[str, ...],
    change: Change,
    tables: Tables,
) -> str:
    return '; '.join(
        f'{row} was changed since: it is now {_describe_row(tables, row)} '
        f'and would become {_describe_row(change.after, row)}'
        for row in overlap
    )


def _describe_row(tables: Tables, row: str) -> str:
    table, _, name = row.partition(' ')
    found = tables.routes.get(name) if table == 'route' else None
    return str(found or tables.pools.get(name) or 'absent')
