"""Edits of the tables by operators, as pure functions."""

__all__ = (
    'apply_pools',
    'apply_routes',
    'check_references',
    'check_unused',
    'delete_pools',
    'delete_routes',
)

from collections.abc import Container, Iterable
from dataclasses import replace

from zinniaturn.configuration.exceptions import (
    PoolInUseError,
    RowNotFoundError,
)
from zinniaturn.tables.domain import Pool, Route, Tables
from zinniaturn.tables.exceptions import DanglingRouteError


def apply_routes(tables: Tables, routes: Iterable[Route]) -> Tables:
    """Return the tables with these routes added or replaced."""
    merged = {**tables.routes, **{route.name: route for route in routes}}
    return replace(tables, routes=merged)


def apply_pools(tables: Tables, pools: Iterable[Pool]) -> Tables:
    """Return the tables with these pools added or replaced."""
    merged = {**tables.pools, **{pool.name: pool for pool in pools}}
    return replace(tables, pools=merged)


def delete_routes(tables: Tables, names: Iterable[str]) -> Tables:
    """
    Return the tables without these routes.

    Raises `RowNotFoundError` for an absent route.
    """
    removed = frozenset(names)
    _check_present('route', removed, tables.routes)
    kept = {
        name: route
        for name, route in tables.routes.items()
        if name not in removed
    }
    return replace(tables, routes=kept)


def delete_pools(tables: Tables, names: Iterable[str]) -> Tables:
    """
    Return the tables without these pools.

    Raises `RowNotFoundError` for an absent pool and `PoolInUseError` for one
    that a route refers to.
    """
    removed = frozenset(names)
    _check_present('pool', removed, tables.pools)
    check_unused(tables, removed)
    kept = {
        name: pool for name, pool in tables.pools.items() if name not in removed
    }
    return replace(tables, pools=kept)


def check_unused(tables: Tables, pools: Container[str]) -> None:
    """Raise `PoolInUseError` if a route refers to one of ``pools``."""
    for name in sorted(tables.routes):
        pool = tables.routes[name].pool
        if pool in pools:
            raise PoolInUseError(f'pool "{pool}" is in use by route "{name}"')


def check_references(tables: Tables) -> None:
    """Raise `DanglingRouteError` if a route names a missing pool."""
    for route in tables.routes.values():
        if route.pool not in tables.pools:
            raise DanglingRouteError(
                f'route "{route.name}" refers to pool "{route.pool}", '
                'which does not exist',
            )


def _check_present(
    table: str,
    names: Iterable[str],
    rows: Container[str],
) -> None:
    for name in sorted(names):
        if name not in rows:
            raise RowNotFoundError(f'there is no {table} "{name}"')
