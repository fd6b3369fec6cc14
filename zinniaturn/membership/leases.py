"""
Leases that the holder checks before each action, and fencing tokens.

The holder counts the lease's term on its monotonic clock from before it sent
the request. So it treats the lease as expired before the store does, even after
a pause of the process or a jump of the wall clock. Receivers also check the
fencing token.
"""

__all__ = ('FencingGate', 'LeaseKeeper', 'lease_is_held')

from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.membership.exceptions import LeaseLostError
from zinniaturn.store import ConfigurationStore, Lease, StoreError

_SAFETY_MARGIN_SHARE = 0.1


def lease_is_held(
    term_started_at: float,
    ttl_seconds: float,
    now: float,
) -> bool:
    """
    Return whether a lease's holder may act; times are in monotonic seconds.

    The holder stops acting 10 % of the time to live before the lease expires.

    >>> lease_is_held(0, 10, 8.9), lease_is_held(0, 10, 9.1)
    (True, False)
    """
    return now < term_started_at + ttl_seconds * (1 - _SAFETY_MARGIN_SHARE)


@dataclass
class LeaseKeeper:
    """Acquires, renews, checks and releases one lease of one holder."""

    store: ConfigurationStore
    holder: str
    ttl_seconds: float
    clock: Clock
    lease: Lease | None = None
    term_started_at: float = 0

    def is_held(self) -> bool:
        """Return whether the lease is held and the holder may act."""
        return self.lease is not None and lease_is_held(
            self.term_started_at,
            self.ttl_seconds,
            self.clock.monotonic(),
        )

    def check(self) -> Lease:
        """
        Return the lease; raise `LeaseLostError` if it may have expired.

        Call it before each action that needs the lease.
        """
        if self.lease is None or not self.is_held():
            raise LeaseLostError(f'the lease of {self.holder} may have expired')
        return self.lease

    async def acquire(self) -> Lease:
        """Get a new lease with a greater fencing token."""
        started_at = self.clock.monotonic()
        lease = await self.store.grant_lease(self.holder, self.ttl_seconds)
        self.term_started_at = started_at
        self.lease = lease
        return lease

    async def renew(self) -> None:
        """
        Extend the lease by another term; raises the store's errors.

        A lease that may have expired is not renewed, since another holder may
        have acted in the meantime. Raises `LeaseLostError` then.
        """
        lease = self.check()
        started_at = self.clock.monotonic()
        await self.store.renew_lease(lease.lease_id)
        self.term_started_at = started_at

    async def release(self) -> None:
        """Release the lease; in a store outage it expires instead."""
        lease = self.lease
        self.lease = None
        if lease is None:
            return
        try:
            await self.store.release_lease(lease.lease_id)
        except StoreError:
            return


@dataclass
class FencingGate:
    """Rejects actions of a role whose fencing token is out of date."""

    highest: dict[str, int] = field(default_factory=dict)

    def admit(self, role: str, fencing: int) -> bool:
        """
        Return whether an action is valid, and store its fencing token.

        An action is invalid if a greater token was seen for the same role.

        >>> gate = FencingGate()
        >>> gate.admit('report', 7), gate.admit('report', 6)
        (True, False)
        """
        if fencing < self.highest.get(role, 0):
            return False
        self.highest[role] = fencing
        return True
