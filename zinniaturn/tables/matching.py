"""
Which route a request belongs to.

A matcher is built once for each revision, so that a request costs a lookup
for each segment of its path, however many routes there are.
"""

__all__ = ('RouteMatcher',)

from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

from zinniaturn.tables.domain import Route

RouteT = TypeVar('RouteT', bound=Route)

_SEPARATOR = '/'


class RouteMatcher(Generic[RouteT]):
    """
    Finds the most specific route.

    A route with a host goes before one without; then the longer path prefix;
    then a route with methods; then the name.

    >>> matcher = RouteMatcher([Route('cards', 'card', path_prefix='/cards')])
    >>> matcher.find('example', '/cards/7', 'GET').name
    'cards'
    >>> matcher.find('example', '/cardsharp', 'GET') is None
    True
    """

    def __init__(self, routes: Iterable[RouteT] = ()) -> None:
        self.hosts: dict[str, dict[str, list[RouteT]]] = {}
        self.longest = 0
        for route in sorted(routes, key=_rank):
            prefixes = self.hosts.setdefault(route.host, {})
            prefixes.setdefault(route.path_prefix, []).append(route)
            self.longest = max(self.longest, len(route.path_prefix))

    def find(self, host: str, path: str, method: str) -> RouteT | None:
        """Return the most specific route, or ``None``."""
        for known_host in (host, '') if host else ('',):
            prefixes = self.hosts.get(known_host)
            if prefixes is not None:
                route = self._find(prefixes, path, method)
                if route is not None:
                    return route
        return None

    def _find(
        self,
        prefixes: dict[str, list[RouteT]],
        path: str,
        method: str,
    ) -> RouteT | None:
        for prefix in _prefixes_of(path, self.longest):
            for route in prefixes.get(prefix, ()):
                if not route.methods or method in route.methods:
                    return route
        return None


def _prefixes_of(path: str, longest: int) -> Iterator[str]:
    """Yield the prefixes that end at a segment's end, the longest first."""
    if len(path) <= longest:
        yield path
    end = path.rfind(_SEPARATOR, 0, longest + 1)
    while end >= 0:
        if end + 1 < len(path) and end < longest:
            yield path[: end + 1]
        yield path[:end]
        end = path.rfind(_SEPARATOR, 0, end)


def _rank(route: Route) -> tuple[bool, str]:
    return not route.methods, route.name
