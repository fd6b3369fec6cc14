"""Builders of test data."""

from zinniaturn.tables import Pool, Route, Server, Tables


def build_server(name='card-0', port=9000, **fields):
    """Return a server with default test values."""
    return Server(name, '127.0.0.1', port, fields.pop('slots', 4), **fields)


def build_pool(name='card', servers=1, **fields):
    """Return a pool with the given number of servers."""
    return Pool(
        name,
        tuple(
            build_server(f'{name}-{number}', 9000 + number)
            for number in range(servers)
        ),
        **fields,
    )


def build_tables(revision=1, routes=(), pools=()):
    """Return tables with these routes and pools."""
    return Tables(
        revision,
        {route.name: route for route in routes},
        {pool.name: pool for pool in pools},
    )


def build_route(name='cards', pool='card', **fields):
    """Return a route with default test values."""
    return Route(name, pool, **fields)
