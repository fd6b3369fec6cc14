"""
Leased seats: the right to measure a pool.

A seat is a key that lives as long as its holder's lease. The holder checks
its lease on the monotonic clock before each measuring request, so that one
that was paused past its lease doesn't act on it. A new holder waits a whole
term before its first request, so that whoever held the seat before has
stopped, whatever the store says or forgot.
"""

__all__ = ('Seat', 'SeatHolder')

import random
from collections.abc import Mapping
from dataclasses import dataclass

from zinniaturn.clock import Clock
from zinniaturn.probes.pacing import seats_of, spacing_of
from zinniaturn.store import (
    ConfigurationStore,
    Lease,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)

SEATS_KEY = 'zinniaturn/seats'

_MARGIN_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Seat:
    """A seat that is held; it may be used from ``usable_from`` on."""

    number: int
    version: int
    usable_from: float


class SeatHolder:
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
        self.valid_until: float = 0
        self.seats: dict[str, Seat] = {}

    def may_measure(self, pool: str) -> bool:
        """Return whether a measuring request may be sent at this instant."""
        seat = self.seats.get(pool)
        now = self.clock.monotonic()
        return seat is not None and seat.usable_from <= now < self.valid_until

    async def refresh(self, wanted: Mapping[str, float]) -> None:
        """
        Keep the lease and take free seats.

        ``wanted`` is the budget by pool. Where the store does not
        answer, the seats stay until the lease lapses by this VM's own clock.
        """
        self._drop_lapsed()
        try:
            await self._refresh(wanted)
        except StoreUnavailableError:
            return
        except StoreError:
            self._forget()

    async def release(self) -> None:
        """Give up every seat at once."""
        lease = self.lease
        self._forget()
        if lease is None:
            return
        try:
            await self.store.release_lease(lease.lease_id)
        except StoreError:
            return

    async def _refresh(self, wanted: Mapping[str, float]) -> None:
        for pool in list(self.seats):
            if self.seats[pool].number >= seats_of(wanted.get(pool, 0)):
                await self._leave(pool)
        if not any(wanted.values()):
            return
        await self._keep_lease()
        for pool, budget in wanted.items():
            if pool not in self.seats:
                await self._take_any(pool, budget)

    async def _keep_lease(self) -> None:
        asked_at = self.clock.monotonic()
        if self.lease is None:
            self.lease = await self.store.grant_lease(
                self.name,
                self.ttl_seconds,
            )
        else:
            await self.store.renew_lease(self.lease.lease_id)
        self.valid_until = asked_at + self.ttl_seconds - _MARGIN_SECONDS

    async def _take_any(self, pool: str, budget: float) -> None:
        count = seats_of(budget)
        for number in self.source.sample(range(count), count):
            if await self._take(pool, number, budget):
                return

    async def _take(self, pool: str, number: int, budget: float) -> bool:
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
        settling = self.ttl_seconds + spacing_of(budget) + _MARGIN_SECONDS
        usable_from = self.clock.monotonic() + settling
        self.seats[pool] = Seat(number, version, usable_from)
        return True

    async def _leave(self, pool: str) -> None:
        seat = self.seats.pop(pool)
        try:
            await self.store.delete(_key(pool, seat.number), seat.version)
        except StoreConflictError:
            return

    def _drop_lapsed(self) -> None:
        if self.lease and self.clock.monotonic() >= self.valid_until:
            self._forget()

    def _forget(self) -> None:
        self.lease = None
        self.seats.clear()
        self.valid_until = 0


def _key(pool: str, number: int) -> str:
    return f'{SEATS_KEY}/{pool}/{number}'
