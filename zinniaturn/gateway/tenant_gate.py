"""
Keeps requests without a valid key from servers, where tenants are configured.

The key is looked up in the tables that are in force at the moment, and the age
of their proof is read: as the request arrives, as it leaves the queue, and
right before it is sent. So a withdrawn key also stops retries, hedged requests
and those of other VMs, and requests of a process that was paused.

Work: two look-ups in hash tables and one reading of the clock for each
question, whatever the number of tenants and keys, and no memory for a request.
"""

__all__ = ('KEY_CODES', 'TOO_OLD_RETRY_SECONDS', 'TenantGate')

from dataclasses import dataclass

from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.fleet.tables import FleetRoute
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.messages import Request
from zinniaturn.placing.retry_after import RetryAfterJitter
from zinniaturn.tenants import KeyRuling, Standing, Tenant, TenantTable

# The codes of requests that their keys don't allow.
KEY_CODES = frozenset(('unknown-key', 'configuration-too-old'))
# The caller meets another VM when it returns, or this one has read the store.
TOO_OLD_RETRY_SECONDS = 0.3


@dataclass(slots=True)
class TenantGate:
    """Rejects the requests whose key is not certain to be valid now."""

    state: GatewayState
    retry_after_jitter: RetryAfterJitter

    def admit(self, request: Request, route: FleetRoute) -> Tenant | None:
        """
        Return the tenant that a request's key belongs to.

        Returns ``None`` where no key is asked for, and raises `RejectedError`
        for a request whose key is missing, unknown or perhaps withdrawn.
        """
        tenants = self.tenants_asked_on(route)
        if tenants is None:
            return None
        bounds = self.state.settings.bounds
        ruling, tenant = bounds.revocation.decide(
            tenants,
            self.state.wire_format.tenant_key(request.fields),
            self.state.fleet_state.proof.age_seconds,
        )
        if ruling is KeyRuling.SERVE:
            return tenant
        raise self._rejection(ruling)

    def tenants_asked_on(self, route: FleetRoute) -> TenantTable | None:
        """Return the tenants whose keys a route asks for, if it asks."""
        tables = self.state.fleet_state.tables
        if tables is None or tables.tenants is None:
            return None
        # The route may have become public, or be so no more, since the request
        # arrived.
        if tables.routes.get(route.name, route).public:
            return None
        return tables.tenants

    def rule_on(self, tenant: Tenant | None) -> tuple[KeyRuling, Tenant | None]:
        """Return the ruling on requests of a tenant; nothing is counted."""
        rule = self.state.settings.bounds.revocation
        age_seconds = self.state.fleet_state.proof.age_seconds
        return rule.decide_for(tenant, age_seconds)

    def standing(self) -> Standing:
        """Return what the tables in force are good for, by their proof."""
        fleet_state = self.state.fleet_state
        tables = fleet_state.tables
        if tables is None or tables.tenants is None:
            return Standing.FRESH
        rule = self.state.settings.bounds.revocation
        return rule.standing(fleet_state.proof.age_seconds)

    def is_outdated(self) -> bool:
        """Return whether other VMs may serve tenants better soon."""
        return self.standing() is not Standing.FRESH

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

    def _rejection(self, ruling: KeyRuling) -> RejectedError:
        if ruling is KeyRuling.UNKNOWN_KEY:
            self.state.counters.events['key_unknown'] += 1
            return RejectedError('the key is not known', ruling.value)
        self.state.counters.events['configuration_too_old'] += 1
        age = self.state.fleet_state.proof.age_seconds
        return RejectedError(
            f'keys may have been withdrawn for {age:.2f} s',
            ruling.value,
            self.retry_after_jitter.seconds(TOO_OLD_RETRY_SECONDS),
        )
