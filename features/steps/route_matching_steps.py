"""Steps of route matching."""

from behave import given, then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.support.builders import build_route
from zinniaturn.tables import RouteMatcher

_MAX_EXAMPLES = 500
_HOSTS = st.sampled_from(['', 'a.example', 'b.example'])
_PATHS = st.text('/ab', max_size=7).map('/{}'.format)
_METHODS = st.sampled_from(['GET', 'POST', 'PUT'])


@st.composite
def _routes(draw):
    count = draw(st.integers(0, 8))
    return [
        build_route(
            f'route-{number}',
            host=draw(_HOSTS),
            path_prefix=draw(_PATHS),
            methods=frozenset(draw(st.sets(_METHODS, max_size=2))),
        )
        for number in range(count)
    ]


def _is_path_prefix(prefix, path):
    rest = path[len(prefix) :]
    is_boundary = prefix.endswith('/') or not rest or rest[0] == '/'
    return path.startswith(prefix) and is_boundary


def _find_by_scan(routes, host, path, method):
    found = [
        route
        for route in routes
        if route.host in {'', host}
        and (not route.methods or method in route.methods)
        and _is_path_prefix(route.path_prefix, path)
    ]
    return min(
        found,
        key=lambda route: (
            not route.host,
            -len(route.path_prefix),
            not route.methods,
            route.name,
        ),
        default=None,
    )


@given('any routes over few hosts, prefixes and methods')
def choose_routes(context):
    context.routes = _routes()


@then('the matcher finds the same route as a scan for any request')
def check_matcher(context):
    @settings(max_examples=_MAX_EXAMPLES, derandomize=True, deadline=None)
    @for_all(context.routes, _HOSTS, _PATHS, _METHODS)
    def check(routes, host, path, method):
        found = RouteMatcher(routes).find(host, path, method)
        assert found == _find_by_scan(routes, host, path, method)

    check()
