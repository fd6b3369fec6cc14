"""Which route a request belongs to."""

__all__ = ('find_route',)

from zinniaturn.tables.domain import Route, Tables


def find_route(
    tables: Tables,
    host: str,
    path: str,
    method: str,
) -> Route | None:
    """
    Return the most specific route, or ``None``.

    A route with a host goes before one without; then the longer path prefix;
    then a route with methods; then the name.
    """
    found = [
        route
        for route in tables.routes.values()
        if _matches(route, host, path, method)
    ]
    return min(found, key=_rank, default=None)


def _matches(route: Route, host: str, path: str, method: str) -> bool:
    if route.host and route.host != host:
        return False
    if route.methods and method not in route.methods:
        return False
    return _covers(route.path_prefix, path)


def _covers(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    rest = path[len(prefix) :]
    return prefix.endswith('/') or rest == '' or rest[0] == '/'


def _rank(route: Route) -> tuple[bool, int, bool, str]:
    return (
        not route.host,
        -len(route.path_prefix),
        not route.methods,
        route.name,
    )
