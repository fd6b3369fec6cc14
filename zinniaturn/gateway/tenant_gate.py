"""
Keeps requests without a valid key from servers, where tenants are configured.

The key is looked up in the tables that are in force at the moment: as the
request arrives, as it leaves the queue, and right before it is sent. So a
withdrawn key also stops retries, hedged requests and those of other VMs.

Work: two look-ups in hash tables for each question, whatever the number of
tenants and keys, and no memory for a request.
"""

__all__ = ('KEY_CODES', 'TenantGate')

from dataclasses import dataclass

from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.fleet.tables import FleetRoute
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.messages import Request
from zinniaturn.tenants import Tenant

# The codes of requests that their keys don't allow.
KEY_CODES = frozenset(('unknown-key',))


@dataclass(slots=True)
class TenantGate:
    """Rejects the requests whose key is not valid now."""

    state: GatewayState

    def admit(self, request: Request, route: FleetRoute) -> Tenant | None:
        """
        Return the tenant that a request's key belongs to.

        Returns ``None`` where no key is asked for, and raises `RejectedError`
        for a request whose key is missing or unknown.
        """
        tables = self.state.fleet_state.tables
        if tables is None or tables.tenants is None:
            return None
        # The route may have become public, or be so no more, since the request
        # arrived.
        if tables.routes.get(route.name, route).public:
            return None
        key = self.state.wire_format.tenant_key(request.fields)
        tenant = tables.tenants.find(key)
        if tenant is None:
            raise RejectedError('the key is not known', 'unknown-key')
        return tenant

    def check(self, context: RequestContext) -> None:
        """Raise `RejectedError` if a request must not be sent any more."""
        self.admit(context.request, context.route)

    def name_for_server(self, context: RequestContext) -> str | None:
        """
        Return the tenant that a server is told, right before it gets a request.

        It is empty for a request of no tenant and ``None`` where none are
        configured. Raises `RejectedError` as `check` does.
        """
        tenant = self.admit(context.request, context.route)
        if tenant is not None:
            return tenant.name
        tables = self.state.fleet_state.tables
        has_tenants = tables is not None and tables.tenants is not None
        return '' if has_tenants else None
