"""
Asks for a permit of its tenant's allowance before a request is placed.

Each send takes a permit, also a retry and a hedged request. A request for which
there is none is rejected at once, with the time at which a place is free again.

While the VM that an allowance belongs to can't be asked, a VM sends its own
part of a little less than the allowance: its share of the fleet's requests.

Work: one look-up and a few comparisons for each request, whatever the number of
tenants and VMs; messages as for servers with limits, at most 40 a second.
"""

__all__ = ('AllowanceGate',)

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from zinniaturn.admission.admission import Admission, ServerNotice
from zinniaturn.admission.permits import PERMIT_LIFETIME_SECONDS
from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.placing.rate_limit import RateLimit
from zinniaturn.placing.return_schedule import ReturnSchedule
from zinniaturn.placing.token_bucket import TokenBucket
from zinniaturn.tenants import Tenant
from zinniaturn.tenants.allowance import bucket_for

_KEY_PREFIX = 'tenant '
_REPLY_SECONDS = 0.04
# The part of an allowance that VMs use together while its owner is silent.
_OWNERLESS_SHARE = 0.65
_MOST_TENANTS = 4096
_REPORT_SECONDS = 1.0


@dataclass(slots=True)
class _Account:
    """What this VM holds of one tenant's allowance."""

    tenant: Tenant
    admission: Admission
    own_part: TokenBucket
    returns: ReturnSchedule = field(default_factory=ReturnSchedule)


@dataclass(slots=True)
class AllowanceGate:
    """Obtains the permits of tenants that have an allowance."""

    state: GatewayState
    accounts: 'OrderedDict[str, _Account]' = field(default_factory=OrderedDict)
    reports: RateLimit = field(
        default_factory=lambda: RateLimit(_REPORT_SECONDS)
    )

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
        expiry = await self._permit(account)
        if expiry is None:
            raise self._rejection(account, context.priority)
        return expiry

    def give_back(self, context: RequestContext, expiry: float) -> None:
        """Return the permit of a request that was not sent or not run."""
        tenant = context.tenant
        if tenant is None or math.isinf(expiry):
            return
        now = self.state.admissions.clock.monotonic()
        account = self.accounts.get(tenant.name)
        if account is not None and expiry > now:
            account.admission.permits.give_back(expiry)

    async def _permit(self, account: _Account) -> float | None:
        """Return a permit's expiry, after a request for one if need be."""
        exchange = self.state.gossip.permits
        clock = self.state.admissions.clock
        admission = account.admission
        until = clock.monotonic() + _REPLY_SECONDS
        expiry = admission.permits.take(clock.monotonic())
        while expiry is None:
            # This VM's own allowances are granted at once.
            is_asked = exchange.request(admission)
            seconds = until - clock.monotonic()
            if is_asked and seconds > 0:
                await exchange.wait_for_reply(seconds)
            expiry = admission.permits.take(clock.monotonic())
            if not is_asked or seconds <= 0:
                break
        if expiry is not None:
            exchange.request(admission)
            return expiry
        return self._own_permit(account)

    def _own_permit(self, account: _Account) -> float | None:
        """Return a permit of the own part while no owner can be asked."""
        now = self.state.admissions.clock.monotonic()
        if not self.state.gossip.permits.has_no_owner(account.admission):
            return None
        account.own_part.per_second = (
            account.tenant.requests_per_second
            * self._own_share()
            * _OWNERLESS_SHARE
        )
        if account.own_part.take(1, now):
            return now + PERMIT_LIFETIME_SECONDS
        return None

    def _account(self, tenant: Tenant) -> _Account:
        """Return the account of a tenant, anew where its limit changed."""
        account = self.accounts.get(tenant.name)
        if account is None:
            account = self._open(tenant)
            self.accounts[tenant.name] = account
            if len(self.accounts) > _MOST_TENANTS:
                self.accounts.popitem(last=False)
        if account.tenant is not tenant:
            self._follow(account, tenant)
        return account

    def _follow(self, account: _Account, tenant: Tenant) -> None:
        """Apply a later document; a tenant in it is another object."""
        if account.tenant != tenant:
            # Permits by an earlier limit may be more than the new one allows.
            account.admission.permits.expiries.clear()
        account.tenant = tenant
        account.admission.notice = self._notice(
            tenant, self.state.admissions.clock.monotonic()
        )

    def _open(self, tenant: Tenant) -> _Account:
        clock = self.state.admissions.clock
        now = clock.monotonic()
        return _Account(
            tenant,
            Admission(clock, self._notice(tenant, now)),
            TokenBucket(0, 1, now),
        )

    def _notice(self, tenant: Tenant, now: float) -> ServerNotice:
        bucket = bucket_for(
            tenant.requests_per_second,
            tenant.burst,
            self.state.settings.bounds.allowance,
        )
        tables = self.state.fleet_state.tables
        return ServerNotice(
            _KEY_PREFIX + tenant.name,
            0 if tables is None else tables.version,
            bucket.per_second,
            said_at=now,
            depth=bucket.depth,
        )

    def _own_share(self) -> float:
        """Return this VM's part of the fleet's requests."""
        own = self.state.own_request_rate()
        demand = self.state.fleet_request_rate()
        fair = 1 / self.state.vms.max_size()
        if not demand or math.isinf(demand):
            return fair
        return max(fair, own / demand)

    def _rejection(self, account: _Account, priority: int) -> RejectedError:
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
