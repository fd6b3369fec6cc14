"""
Asks for a permit of its tenant's allowance before a request is placed.

Each send takes a permit, also a retry and a hedged request. A request for which
there is none is rejected at once, with the time at which a place is free again.
So is one that can't be in time while permits are short (`AllowanceShortage`).

While the VM that an allowance belongs to can't be asked, a VM goes on at its
latest rate for a moment (`zinniaturn.tenants.accounts`).

Work: one look-up and a few comparisons for each request, whatever the number of
tenants and VMs; messages as for servers with limits, at most 40 a second.
"""

__all__ = ('AllowanceGate',)

import asyncio
import math
from dataclasses import dataclass, field

from zinniaturn.admission.admission import Admission
from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.placing.latency_estimates import ServiceTimeEstimates
from zinniaturn.placing.rate_limit import RateLimit
from zinniaturn.tenants import Tenant
from zinniaturn.tenants.accounts import (
    TenantAccount,
    TenantAccounts,
    note_refused,
    take_own_part,
)

_REPLY_SECONDS = 0.04
_REPORT_SECONDS = 1.0


@dataclass(slots=True)
class AllowanceGate:
    """Obtains the permits of tenants that have an allowance."""

    state: GatewayState
    service_times: ServiceTimeEstimates
    accounts: TenantAccounts = field(init=False)
    reports: RateLimit = field(
        default_factory=lambda: RateLimit(_REPORT_SECONDS)
    )

    def __post_init__(self) -> None:
        """Start without accounts."""
        self.accounts = TenantAccounts(self.state.admissions.clock)

    async def obtain(self, context: RequestContext) -> float:
        """
        Return until when a request may be sent by its tenant's allowance.

        The time is by the boot clock and infinite for a request that needs no
        permit. Raises `RejectedError` where the allowance is used up.
        """
        tenant = context.tenant
        if tenant is None or not tenant.is_limited:
            return math.inf
        account = self._account(tenant)
        if account.shortage.is_on and self._is_barred(account, context):
            raise self._rejection(account, context.priority)
        expiry = await self._permit(account)
        if expiry is None:
            if not self._is_late(context):
                now = self.state.admissions.clock.monotonic()
                account.shortage.note_refused(now)
            raise self._rejection(account, context.priority)
        return expiry

    def give_back(self, context: RequestContext, expiry: float) -> None:
        """Return the permit of a request that was not sent or not run."""
        tenant = context.tenant
        if tenant is None or math.isinf(expiry):
            return
        self.accounts.give_back(tenant, expiry)

    async def _permit(self, account: TenantAccount) -> float | None:
        """Return a permit's expiry, after a request for one if need be."""
        admission = account.admission
        permits = admission.permits
        now = self.state.admissions.clock.monotonic()
        expiry = permits.take(now)
        if expiry is None:
            permits.waiting += 1
            try:
                expiry = await self._requested_permit(admission)
            finally:
                permits.waiting -= 1
        if expiry is None:
            return self._own_permit(account)
        if permits.needs_more(now):
            self.state.gossip.permits.request(admission)
        return expiry

    async def _requested_permit(self, admission: Admission) -> float | None:
        """Return the expiry of a permit that has to be requested."""
        exchange = self.state.gossip.permits
        clock = self.state.admissions.clock
        until = clock.monotonic() + _REPLY_SECONDS
        while True:
            # This VM's own allowances are granted at once.
            is_asked = exchange.request(admission)
            seconds = until - clock.monotonic()
            if is_asked and seconds > 0:
                await exchange.wait_for_reply(seconds)
            expiry = admission.permits.take(clock.monotonic())
            if expiry is not None or not is_asked or seconds <= 0:
                return expiry

    def _own_permit(self, account: TenantAccount) -> float | None:
        """Return a permit by this VM itself while no owner can be asked."""
        now = self.state.admissions.clock.monotonic()
        if self.state.gossip.permits.has_no_owner(account.admission):
            return take_own_part(account, now)
        note_refused(account, now)
        return None

    def _is_barred(
        self, account: TenantAccount, context: RequestContext
    ) -> bool:
        """Return whether a request gets no permit while they are short."""
        now = self.state.admissions.clock.monotonic()
        is_late = self._is_late(context)
        return account.shortage.bars(is_late=is_late, now=now)

    def _is_late(self, context: RequestContext) -> bool:
        """Return whether even an idle server would miss the objective."""
        route = context.route
        seconds = self.service_times.service_seconds(
            route.name, route.objective_seconds
        )
        now = asyncio.get_running_loop().time()
        return now + seconds > context.objective_at

    def _account(self, tenant: Tenant) -> TenantAccount:
        tables = self.state.fleet_state.tables
        return self.accounts.use(
            tenant,
            self.state.settings.bounds.allowance,
            0 if tables is None else tables.version,
        )

    def _own_share(self) -> float:
        """Return this VM's part of the fleet's requests."""
        own = self.state.own_request_rate()
        demand = self.state.fleet_request_rate()
        fair = 1 / self.state.vms.max_size()
        if not demand or math.isinf(demand):
            return fair
        return max(fair, own / demand)

    def _rejection(
        self, account: TenantAccount, priority: int
    ) -> RejectedError:
        """Count a rejection; log one of all tenants' each second."""
        tenant = account.tenant
        counters = self.state.counters.events
        counters['over_allowance'] += 1
        now = self.state.admissions.clock.monotonic()
        if self.reports.admit(now):
            self.state.event_log.write(
                LogEvent.OVER_ALLOWANCE,
                tenant=tenant.name,
                allowed_per_second=tenant.requests_per_second,
                burst=tenant.burst,
                rejected=counters['over_allowance'],
            )
        seconds = account.returns.seconds(
            tenant.requests_per_second * self._own_share(), priority, now
        )
        return RejectedError(
            f'tenant {tenant.name} has used up its allowance',
            'over-allowance',
            seconds,
        )
