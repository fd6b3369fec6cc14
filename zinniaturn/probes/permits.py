"""
Leased seats: the right to measure a pool.

A seat is a key that lives as long as its holder's lease. The holder checks
its lease on the monotonic clock before each measuring request, so that one
that was paused past its lease doesn't act on it. A new holder waits a whole
term before its first request, so that whoever held the seat before has
stopped, whatever the store says or forgot.
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

_MARGIN_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Permit:
    """A seat that is held; it may be used from ``usable_from`` on."""

    number: int
    version: int
    usable_from: float


class PermitHolder:
    """
    The seats that one entry holds, at most one of each pool.

    ``name`` is unique to the process. `refresh` is called several times in
    each term of ``ttl_seconds``.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        clock: Clock,
        source: random.Random,
        name: str,
        ttl_seconds: float,
    ) -> None:
        self.store = store
        self.clock = clock
        self.source = source
        self.name = name
        self.ttl_seconds = ttl_seconds
        self.lease: Lease | None = None
        self.lease_expires_at: float = 0
        self.permits: dict[str, Permit] = {}

    def may_measure(self, pool: str) -> bool:
        """Return whether a measuring request may be sent at this instant."""
        permit = self.permits.get(pool)
        now = self.clock.monotonic()
        return (
            permit is not None
            and permit.usable_from <= now < self.lease_expires_at
        )

    async def refresh(self, wanted: Mapping[str, float]) -> None:
        """
        Keep the lease and take free seats.

        ``wanted`` is the budget by pool. Where the store does not
        answer, the seats stay until the lease lapses by this VM's own clock.
        """
        self._drop_expired()
        try:
            await self._refresh(wanted)
        except StoreUnavailableError:
            return
        except StoreError:
            self._drop_all()

    async def release(self) -> None:
        """Give up every seat at once."""
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
        await self._keep_lease()
        for pool, budget in wanted.items():
            if pool not in self.permits:
                await self._acquire_any(pool, budget)

    async def _keep_lease(self) -> None:
        requested_at = self.clock.monotonic()
        if self.lease is None:
            self.lease = await self.store.grant_lease(
                self.name,
                self.ttl_seconds,
            )
        else:
            await self.store.renew_lease(self.lease.lease_id)
        self.lease_expires_at = (
            requested_at + self.ttl_seconds - _MARGIN_SECONDS
        )

    async def _acquire_any(self, pool: str, budget: float) -> None:
        count = permit_count(budget)
        for number in self.source.sample(range(count), count):
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
            + _MARGIN_SECONDS
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
