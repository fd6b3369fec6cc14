"""
Finds the route that a request belongs to.

A matcher is built once per revision. A request then costs one lookup per
segment of its path, independent of the number of routes.
"""

__all__ = ('RouteMatcher',)

from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

from zinniaturn.tables.domain import Route

RouteT = TypeVar('RouteT', bound=Route)

_SEPARATOR = '/'


class RouteMatcher(Generic[RouteT]):
    """
    Finds the most specific route of a request.

    A route with a host precedes one without; among these the longest path
    prefix decides, then whether the route has methods, then its name.

    >>> matcher = RouteMatcher([Route('cards', 'card', path_prefix='/cards')])
    >>> matcher.find('example', '/cards/7', 'GET').name
    'cards'
    >>> matcher.find('example', '/cardsharp', 'GET') is None
    True
    """

    def __init__(self, routes: Iterable[RouteT] = ()) -> None:
        self.routes_by_host: dict[str, dict[str, list[RouteT]]] = {}
        self.max_prefix_length = 0
        for route in sorted(routes, key=_specificity):
            routes_by_prefix = self.routes_by_host.setdefault(route.host, {})
            routes_by_prefix.setdefault(route.path_prefix, []).append(route)
            self.max_prefix_length = max(
                self.max_prefix_length, len(route.path_prefix)
            )

    def find(self, host: str, path: str, method: str) -> RouteT | None:
        """Return the most specific matching route, or ``None``."""
        for known_host in (host, '') if host else ('',):
            routes_by_prefix = self.routes_by_host.get(known_host)
            if routes_by_prefix is not None:
                route = self._find_by_path(routes_by_prefix, path, method)
                if route is not None:
                    return route
        return None

    def _find_by_path(
        self,
        routes_by_prefix: dict[str, list[RouteT]],
        path: str,
        method: str,
    ) -> RouteT | None:
        for prefix in _path_prefixes(path, self.max_prefix_length):
            for route in routes_by_prefix.get(prefix, ()):
                if not route.methods or method in route.methods:
                    return route
        return None


def _path_prefixes(path: str, max_prefix_length: int) -> Iterator[str]:
    """Yield the path's prefixes of whole segments, the longest first."""
    if len(path) <= max_prefix_length:
        yield path
    end = path.rfind(_SEPARATOR, 0, max_prefix_length + 1)
    while end >= 0:
        if end + 1 < len(path) and end < max_prefix_length:
            yield path[: end + 1]
        yield path[:end]
        end = path.rfind(_SEPARATOR, 0, end)


def _specificity(route: Route) -> tuple[bool, str]:
    return not route.methods, route.name
