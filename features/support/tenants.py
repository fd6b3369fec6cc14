"""Builds documents, requests and states with tenants for tests."""

from features.support.gateway import build_config, build_route_row

KEY = 'key-of-gold-1'
OTHER_KEY = 'key-of-gold-2'
THIRD_KEY = 'key-of-coal-1'
SECRET_TEXT = 'key-of-'

_COLUMNS = ('name', 'api_keys', 'priority', 'rate_per_s', 'burst')


def tenant_row(name='gold', keys=(KEY,), priority=None, rate=None, burst=None):
    """Return a tenant as a row of the operator's document."""
    return [name, list(keys), priority, rate, burst]


def default_tenants():
    """Return the rows of two tenants."""
    return [
        tenant_row('gold', (KEY, OTHER_KEY), 0, 40, 10),
        tenant_row('coal', (THIRD_KEY,)),
    ]


def build_tenant_config(tenants=None, version='00000001'):
    """Return a document with tenants and a route that is public."""
    config = build_config(
        [
            build_route_row(
                'reads',
                '/reads/',
                'idempotent',
                max_attempts=3,
                timeout_ms=8000,
                target_ms=8000,
            ),
            build_route_row('posts', '/posts/', 'non_idempotent'),
            build_route_row('open', '/open/', 'idempotent'),
        ],
        version=version,
    )
    routes = config['routes']
    routes['columns'].append('public')
    for row, public in zip(routes['rows'], (None, False, True), strict=True):
        row.append(public)
    rows = default_tenants() if tenants is None else tenants
    config['tenants'] = {'columns': list(_COLUMNS), 'rows': rows}
    return config
