"""
Leases that their holder checks before each act.

The term is counted on the monotonic clock from before the request was sent, so
the holder gives up earlier than the store does, also after a pause of the
process or a jump of the wall clock. Receivers check the fencing number.
"""

__all__ = ('FencingGate', 'LeaseKeeper', 'lease_is_held')

from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.membership.exceptions import LeaseLostError
from zinniaturn.store import ConfigurationStore, Lease, StoreError

_MARGIN_SHARE = 0.1


def lease_is_held(
    term_began_at: float,
    ttl_seconds: float,
    now: float,
) -> bool:
    """
    Return whether a holder may act; times are in monotonic seconds.

    >>> lease_is_held(0, 10, 8.9), lease_is_held(0, 10, 9.1)
    (True, False)
    """
    return now < term_began_at + ttl_seconds * (1 - _MARGIN_SHARE)


@dataclass
class LeaseKeeper:
    """One lease of one holder: `acquire`, `renew`, `check`, `release`."""

    store: ConfigurationStore
    holder: str
    ttl_seconds: float
    clock: Clock
    lease: Lease | None = None
    term_began_at: float = 0

    def is_held(self) -> bool:
        """Return whether the holder may act now."""
        return self.lease is not None and lease_is_held(
            self.term_began_at,
            self.ttl_seconds,
            self.clock.monotonic(),
        )

    def check(self) -> Lease:
        """Return the lease, or raise `LeaseLostError`; call before acts."""
        if self.lease is None or not self.is_held():
            raise LeaseLostError(f'the lease of {self.holder} may have lapsed')
        return self.lease

    async def acquire(self) -> Lease:
        """Get a new lease with a greater fencing number."""
        began_at = self.clock.monotonic()
        lease = await self.store.grant_lease(self.holder, self.ttl_seconds)
        self.term_began_at = began_at
        self.lease = lease
        return lease

    async def renew(self) -> None:
        """
        Keep the lease for another term; raises the store's errors.

        A lease that may have lapsed is not renewed, since another holder may
        have acted since.
        """
        lease = self.check()
        began_at = self.clock.monotonic()
        await self.store.renew_lease(lease.lease_id)
        self.term_began_at = began_at

    async def release(self) -> None:
        """End the lease; where the store is out, it lapses by itself."""
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
    """Admits acts of a duty whose fencing number is not behind."""

    highest: dict[str, int] = field(default_factory=dict)

    def admit(self, duty: str, fencing: int) -> bool:
        """
        Return whether an act may count, and remember its number.

        >>> gate = FencingGate()
        >>> gate.admit('report', 7), gate.admit('report', 6)
        (True, False)
        """
        if fencing < self.highest.get(duty, 0):
            return False
        self.highest[duty] = fencing
        return True
