"""Implements ``zinniaturn routes``, which reads and edits the routes."""

__all__ = ('routes',)

from collections.abc import Sequence
from types import MappingProxyType

from zinniaturn.commands.tables import TableKind, table_group
from zinniaturn.configuration import apply_routes, delete_routes
from zinniaturn.tables import Tables, parse_routes
from zinniaturn.tables.codec import models_of
from zinniaturn.tables.models import RouteModel


def _rows(tables: Tables) -> Sequence[RouteModel]:
    return models_of(tables)[0]


def _apply(tables: Tables, rows: Sequence[RouteModel]) -> Tables:
    return apply_routes(tables, [row.to_domain() for row in rows])


def _summarize(route: RouteModel) -> Sequence[str]:
    return [
        route.name,
        route.pool,
        route.host or '*',
        route.path_prefix,
        ','.join(route.methods) or '*',
        _IDEMPOTENT_TEXTS[route.idempotent],
        f'{route.deadline_seconds:g}',
    ]


_IDEMPOTENT_TEXTS = MappingProxyType(
    {None: 'by method', True: 'yes', False: 'no'},
)

routes = table_group(
    TableKind(
        name='routes',
        noun='route',
        columns=(
            'NAME',
            'POOL',
            'HOST',
            'PATH',
            'METHODS',
            'IDEMPOTENT',
            'DEADLINE (s)',
        ),
        summarize=_summarize,
        rows=_rows,
        parse=parse_routes,
        apply=_apply,
        delete=delete_routes,
    ),
)
