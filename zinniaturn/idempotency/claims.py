"""
Claims of callers' own keys in the store.

A key that the system did not issue may come to any entry. The entry that first
writes its claim, by a compare-and-swap, is the only one that ever runs it. A
claim costs one write and lives for the window, by a lease that many claims
share and that no one renews.
"""

__all__ = ('Claim', 'ClaimOwner', 'ClaimRegistry')

import hashlib

import msgspec

from zinniaturn.clock import Clock
from zinniaturn.idempotency.exceptions import ClaimUnavailableError
from zinniaturn.store import (
    ConfigurationStore,
    Lease,
    LeaseLapsedError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)

_LEASES_PER_WINDOW = 4
_DIGEST_BYTES = 20


class ClaimOwner(msgspec.Struct, frozen=True):
    """The process that a key belongs to; ``boot`` is drawn at its start."""

    host: str
    port: int
    boot: str


class Claim(msgspec.Struct, frozen=True):
    """A claim; ``claimed_at`` is in seconds of its owner's monotonic clock."""

    owner: ClaimOwner
    claimed_at: float


class ClaimRegistry:
    """Claims keys for one process; ``window_seconds`` is how long they live."""

    def __init__(
        self,
        store: ConfigurationStore,
        clock: Clock,
        window_seconds: float,
    ) -> None:
        self.store = store
        self.clock = clock
        self.window_seconds = window_seconds
        self.lease: Lease | None = None
        self.lease_granted_at: float = 0

    async def claim(self, key: str, owner: ClaimOwner) -> Claim:
        """
        Return the key's claim: one of ``owner``, if no one was before it.

        A write whose reply was lost is resolved by reading back. Raises
        `ClaimUnavailableError` where the store says nothing.
        """
        path = _path(key)
        claim = Claim(owner, self.clock.monotonic())
        text = msgspec.json.encode(claim).decode()
        try:
            lease = await self._current_lease()
            await self.store.compare_and_swap(path, 0, text, lease.lease_id)
        except (StoreConflictError, StoreUnavailableError) as error:
            return await self._read_back(path, str(error))
        except LeaseLapsedError as error:
            self.lease = None
            raise ClaimUnavailableError(str(error)) from error
        except StoreError as error:
            raise ClaimUnavailableError(str(error)) from error
        return claim

    async def _read_back(self, path: str, reason: str) -> Claim:
        try:
            entry = await self.store.read(path)
        except StoreError as error:
            raise ClaimUnavailableError(str(error)) from error
        if not entry.version:
            raise ClaimUnavailableError(reason)
        return msgspec.json.decode(entry.value, type=Claim)

    async def _current_lease(self) -> Lease:
        """
        Return a lease that lives for the window at least.

        It is replaced after one rotation; the old one serves for a second
        rotation while the store gives none.
        """
        rotation = self.window_seconds / _LEASES_PER_WINDOW
        age = self.clock.monotonic() - self.lease_granted_at
        if self.lease is not None and age < rotation:
            return self.lease
        try:
            return await self._grant(rotation)
        except StoreError:
            if self.lease is None or age >= rotation * 2:
                raise
            return self.lease

    async def _grant(self, rotation: float) -> Lease:
        granted_at = self.clock.monotonic()
        self.lease = await self.store.grant_lease(
            'idempotency-keys',
            self.window_seconds + rotation * 2,
        )
        self.lease_granted_at = granted_at
        return self.lease


def _path(key: str) -> str:
    digest = hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES)
    return f'claims/{digest.hexdigest()}'
