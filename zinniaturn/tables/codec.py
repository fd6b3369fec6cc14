"""Encodes both tables for the store as JSON, and decodes them."""

__all__ = ('decode_tables', 'encode_tables', 'models_of', 'tables_of')

import dataclasses

from pydantic import ValidationError

from zinniaturn.tables.domain import Pool, Route, Tables
from zinniaturn.tables.exceptions import TablesError
from zinniaturn.tables.models import PoolModel, RouteModel, TablesModel


def models_of(
    tables: Tables,
) -> tuple[tuple[RouteModel, ...], tuple[PoolModel, ...]]:
    """Return models of the routes and of the pools, each sorted by name."""
    return (
        tuple(
            _route_model(tables.routes[name]) for name in sorted(tables.routes)
        ),
        tuple(_pool_model(tables.pools[name]) for name in sorted(tables.pools)),
    )


def tables_of(model: TablesModel) -> Tables:
    """Return the tables of a validated model as data classes."""
    return Tables(
        revision=model.revision,
        routes={route.name: route.to_domain() for route in model.routes},
        pools={pool.name: pool.to_domain() for pool in model.pools},
    )


def encode_tables(tables: Tables, change_id: str = '') -> str:
    """Return the tables as JSON text."""
    routes, pools = models_of(tables)
    model = TablesModel(
        revision=tables.revision,
        change_id=change_id,
        routes=routes,
        pools=pools,
    )
    return model.model_dump_json()


def decode_tables(text: str) -> Tables:
    """
    Return the tables in JSON ``text``.

    Raises `TablesError` if the text does not follow the format.
    """
    try:
        model = TablesModel.model_validate_json(text)
    except ValidationError as error:
        raise TablesError(f'the stored tables are invalid: {error}') from error
    return tables_of(model)


def _route_model(route: Route) -> RouteModel:
    fields = dataclasses.asdict(route)
    fields['methods'] = tuple(sorted(route.methods))
    return RouteModel(**fields)


def _pool_model(pool: Pool) -> PoolModel:
    return PoolModel(**dataclasses.asdict(pool))
