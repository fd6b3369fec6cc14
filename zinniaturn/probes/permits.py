"""
Leased permits to send measuring requests to a pool.

A permit is a key in the store that exists as long as its holder's lease. Before
each measuring request the holder checks the lease on its monotonic clock, so
that a process that was paused beyond its lease does not send one. A new holder
waits for a whole lease term before its first request, so that the previous
holder has stopped even if the store has lost its state.
"""

__all__ = ('Permit', 'PermitHolder')

import random
from collections.abc import Mapping
from dataclasses import dataclass

from zinniaturn.clock import Clock
from zinniaturn.probes.pacing import measuring_interval_seconds, permit_count
from zinniaturn.store import (
    ConfigurationStore,
    Lease,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)

PERMITS_KEY = 'zinniaturn/seats'

# The holder takes its lease to expire earlier by this, and waits longer.
_LEASE_MARGIN_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Permit:
    """A held permit, which may be used from ``usable_from`` on."""

    number: int
    version: int
    usable_from: float


class PermitHolder:
    """
    The permits that one entry holds, at most one for each pool.

    ``name`` is unique to the process. `refresh` is called several times in
    each lease term of ``ttl_seconds``.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        clock: Clock,
        random_source: random.Random,
        name: str,
        ttl_seconds: float,
    ) -> None:
        self.store = store
        self.clock = clock
        self.random_source = random_source
        self.name = name
        self.ttl_seconds = ttl_seconds
        self.lease: Lease | None = None
        self.lease_expires_at: float = 0
        self.permits: dict[str, Permit] = {}

    def may_measure(self, pool: str) -> bool:
        """Return whether a measuring request may be sent now."""
        permit = self.permits.get(pool)
        now = self.clock.monotonic()
        return (
            permit is not None
            and permit.usable_from <= now < self.lease_expires_at
        )

    async def refresh(self, wanted: Mapping[str, float]) -> None:
        """
        Renew the lease and acquire free permits.

        ``wanted`` is the measuring budget by pool. If the store is not
        available, the permits are kept until the lease expires by this VM's
        own clock.
        """
        self._drop_expired()
        try:
            await self._refresh(wanted)
        except StoreUnavailableError:
            return
        except StoreError:
            self._drop_all()

    async def release(self) -> None:
        """Release all permits at once."""
        lease = self.lease
        self._drop_all()
        if lease is None:
            return
        try:
            await self.store.release_lease(lease.lease_id)
        except StoreError:
            return

    async def _refresh(self, wanted: Mapping[str, float]) -> None:
        for pool in list(self.permits):
            if self.permits[pool].number >= permit_count(wanted.get(pool, 0)):
                await self._release_one(pool)
        if not any(wanted.values()):
            return
        await self._renew_lease()
        for pool, budget in wanted.items():
            if pool not in self.permits:
                await self._acquire_any(pool, budget)

    async def _renew_lease(self) -> None:
        requested_at = self.clock.monotonic()
        if self.lease is None:
            self.lease = await self.store.grant_lease(
                self.name,
                self.ttl_seconds,
            )
        else:
            await self.store.renew_lease(self.lease.lease_id)
        self.lease_expires_at = (
            requested_at + self.ttl_seconds - _LEASE_MARGIN_SECONDS
        )

    async def _acquire_any(self, pool: str, budget: float) -> None:
        count = permit_count(budget)
        for number in self.random_source.sample(range(count), count):
            if await self._acquire(pool, number, budget):
                return

    async def _acquire(self, pool: str, number: int, budget: float) -> bool:
        assert self.lease is not None
        key = _key(pool, number)
        held = await self.store.read(key)
        if held.value and held.value != self.name:
            return False
        try:
            version = await self.store.compare_and_swap(
                key,
                held.version,
                self.name,
                self.lease.lease_id,
            )
        except StoreConflictError:
            return False
        waiting_seconds = (
            self.ttl_seconds
            + measuring_interval_seconds(budget)
            + _LEASE_MARGIN_SECONDS
        )
        usable_from = self.clock.monotonic() + waiting_seconds
        self.permits[pool] = Permit(number, version, usable_from)
        return True

    async def _release_one(self, pool: str) -> None:
        permit = self.permits.pop(pool)
        try:
            await self.store.delete(_key(pool, permit.number), permit.version)
        except StoreConflictError:
            return

    def _drop_expired(self) -> None:
        if self.lease and self.clock.monotonic() >= self.lease_expires_at:
            self._drop_all()

    def _drop_all(self) -> None:
        self.lease = None
        self.permits.clear()
        self.lease_expires_at = 0


def _key(pool: str, number: int) -> str:
    return f'{PERMITS_KEY}/{pool}/{number}'
