"""
What one VM holds of its tenants' allowances.

The permits come from the VM that an allowance belongs to. While that can't be
asked, a VM goes on at the rate of its latest permits for a moment, if the
tenant was within its allowance.

Work: one look-up and a few comparisons for each request. At most 4096 accounts
are kept; the least recently used one is closed first.
"""

__all__ = (
    'TenantAccount',
    'TenantAccounts',
    'note_refused',
    'take_own_part',
)

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from zinniaturn.admission.admission import Admission, ServerNotice
from zinniaturn.admission.permits import PERMIT_LIFETIME_SECONDS
from zinniaturn.clock import Clock
from zinniaturn.placing.return_schedule import ReturnSchedule
from zinniaturn.placing.token_bucket import TokenBucket
from zinniaturn.tenants.allowance import AllowanceBounds, bucket_for
from zinniaturn.tenants.shortage import AllowanceShortage
from zinniaturn.tenants.table import Tenant

_KEY_PREFIX = 'tenant '
# After this time without a use of the own part an absence is a new one.
_ABSENCE_SECONDS = 1.0
_MOST_ACCOUNTS = 4096


@dataclass(slots=True)
class TenantAccount:
    """
    What this VM holds of one tenant's allowance.

    ``version`` is that of the document with the tenant, and ``refused_at`` when
    the owner last had no permit.
    """

    tenant: Tenant
    bounds: AllowanceBounds
    version: int
    admission: Admission
    own_part: TokenBucket
    refused_at: float = -math.inf
    returns: ReturnSchedule = field(default_factory=ReturnSchedule)
    shortage: AllowanceShortage = field(default_factory=AllowanceShortage)


@dataclass(slots=True)
class TenantAccounts:
    """The accounts of this VM by tenant, the most recently used one last."""

    clock: Clock
    accounts: 'OrderedDict[str, TenantAccount]' = field(
        default_factory=OrderedDict
    )

    def use(
        self, tenant: Tenant, bounds: AllowanceBounds, version: int
    ) -> TenantAccount:
        """Return a tenant's account by the present document and settings."""
        account = self.accounts.get(tenant.name)
        if account is None:
            account = self._open(tenant, bounds, version)
            self.accounts[tenant.name] = account
            if len(self.accounts) > _MOST_ACCOUNTS:
                self.accounts.popitem(last=False)
            return account
        self.accounts.move_to_end(tenant.name)
        if account.tenant is not tenant or account.bounds != bounds:
            self._follow(account, tenant, bounds, version)
        return account

    def find(self, name: str) -> TenantAccount | None:
        """Return a tenant's account, ``None`` if this VM has none yet."""
        return self.accounts.get(name)

    def give_back(self, tenant: Tenant, expiry: float) -> None:
        """Hold a permit again that was not used, unless it has expired."""
        account = self.accounts.get(tenant.name)
        if account is not None and expiry > self.clock.monotonic():
            account.admission.permits.give_back(expiry)

    def _open(
        self, tenant: Tenant, bounds: AllowanceBounds, version: int
    ) -> TenantAccount:
        now = self.clock.monotonic()
        notice = _notice(tenant, bounds, version, now)
        return TenantAccount(
            tenant,
            bounds,
            version,
            Admission(self.clock, notice),
            TokenBucket(0, 1, now),
            # After a window all that a tenant has sent is forgotten.
            returns=ReturnSchedule(longest_seconds=bounds.window_seconds),
        )

    def _follow(
        self,
        account: TenantAccount,
        tenant: Tenant,
        bounds: AllowanceBounds,
        version: int,
    ) -> None:
        """Apply a later document, in which a tenant is another object."""
        if account.tenant != tenant or account.bounds != bounds:
            # Permits by an earlier limit may be more than the new one allows.
            account.admission.permits.expiries.clear()
        account.tenant = tenant
        account.bounds = bounds
        account.returns.longest_seconds = bounds.window_seconds
        account.version = version
        now = self.clock.monotonic()
        account.admission.notice = _notice(tenant, bounds, version, now)


def note_refused(account: TenantAccount, now: float) -> None:
    """Note that the owner has refused a request: the allowance is used up."""
    account.refused_at = now


def take_own_part(account: TenantAccount, now: float) -> float | None:
    """
    Return the expiry of a permit by this VM itself, if there may be one.

    The rate is that of the permits that it got lately, which falls to nothing
    within two seconds without an owner. There is none for a tenant that has
    used up its allowance within the last window.
    """
    if now - account.refused_at < account.bounds.window_seconds:
        return None
    rate = account.admission.permits.taken.per_second(now)
    bucket = account.own_part
    if now - bucket.updated_at > _ABSENCE_SECONDS:
        bucket.updated_at = now
        bucket.tokens = min(1, rate * _ABSENCE_SECONDS)
    bucket.per_second = rate
    if bucket.take(1, now):
        return now + PERMIT_LIFETIME_SECONDS
    return None


def _notice(
    tenant: Tenant, bounds: AllowanceBounds, version: int, now: float
) -> ServerNotice:
    bucket = bucket_for(tenant.requests_per_second, tenant.burst, bounds)
    return ServerNotice(
        _KEY_PREFIX + tenant.name,
        version,
        bucket.per_second,
        said_at=now,
        depth=bucket.depth,
    )
