"""Edits of the tables, as pure functions."""

__all__ = ('apply_pools', 'apply_routes', 'check_references')

from collections.abc import Iterable
from dataclasses import replace

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


def check_references(tables: Tables) -> None:
    """Raise `DanglingRouteError` where a route names a missing pool."""
    for route in tables.routes.values():
        if route.pool not in tables.pools:
            raise DanglingRouteError(
                f'route "{route.name}" refers to pool "{route.pool}", '
                'which does not exist',
            )
