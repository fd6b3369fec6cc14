"""Tells operators which tenants a VM knows, and what it has rejected."""

__all__ = ('TENANTS_PATH', 'TenantView', 'TenantsAnswer', 'TenantsEndpoint')

from dataclasses import dataclass

import msgspec

from zinniaturn.gateway.operator_responses import (
    not_ready,
    read_query,
    respond_json,
)
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.messages import Request, Response
from zinniaturn.tenants import Tenant, TenantTable

TENANTS_PATH = '/tenants'
_MOST_TENANTS = 1000


class TenantView(msgspec.Struct):
    """
    A tenant without its keys, of which only the number is told.

    ``priority`` is ``None`` where that of the route applies. Without a
    ``rate_per_s`` there is no allowance. ``rejected`` counts the requests by
    code that this VM has rejected since its start, as not run.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float
    keys: int
    rejected: dict[str, int]


class TenantsAnswer(msgspec.Struct):
    """
    The tenants of the tables in force, at most 1,000 of ``count``.

    ``are_configured`` is false where no request needs a key. ``for_keys``
    counts by code all rejections for keys that are unknown or can't be trusted
    any more. Only those of requests whose tenant was known on arrival are among
    their tenant's as well.
    """

    vm: str
    tables_revision: int
    are_configured: bool
    count: int
    tenants: list[TenantView]
    for_keys: dict[str, int]


@dataclass(slots=True)
class TenantsEndpoint:
    """
    Serves ``GET /tenants``, with ``?name=`` for one of them.

    Work: a step for each key and tenant.
    """

    state: GatewayState

    def handle(self, request: Request) -> Response | None:
        """Return the response, ``None`` if the target is another one."""
        path, _, query = request.target.partition(b'?')
        if path != TENANTS_PATH.encode():
            return None
        if request.method != b'GET':
            return Response(405, b'', [(b'Allow', b'GET')])
        tables = self.state.fleet_state.tables
        if tables is None:
            return not_ready()
        name = read_query(query).get('name')
        return respond_json(self._answer(tables.tenants, name))

    def _answer(
        self, tenants: TenantTable | None, name: str | None
    ) -> TenantsAnswer:
        known = {} if tenants is None else tenants.key_counts()
        views = [
            self._view(tenant, keys)
            for tenant, keys in known.values()
            if name in {None, tenant.name}
        ]
        views.sort(key=lambda view: view.name)
        events = self.state.counters.events
        return TenantsAnswer(
            self.state.settings.name,
            self.state.tables_revision(),
            tenants is not None,
            len(views),
            views[:_MOST_TENANTS],
            {
                'unknown-key': events['key_unknown'],
                'configuration-too-old': events['configuration_too_old'],
            },
        )

    def _view(self, tenant: Tenant, keys: int) -> TenantView:
        rejections = self.state.counters.tenant_rejections
        return TenantView(
            tenant.name,
            tenant.priority,
            tenant.requests_per_second,
            tenant.burst,
            keys,
            dict(rejections.of(tenant.name)),
        )
