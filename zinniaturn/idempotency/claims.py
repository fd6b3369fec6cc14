"""
Claims in the store of idempotency keys that callers have chosen.

A request with a key that the system did not issue may reach any entry. The
entry whose claim is stored first, by a compare-and-swap, is the only one that
ever runs it. A claim costs one write. It lasts for the idempotency window at
least, by a lease that many claims share and that is never renewed.
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

_LEASE_ROTATIONS_PER_WINDOW = 4
_KEY_DIGEST_BYTES = 20


class ClaimOwner(msgspec.Struct, frozen=True):
    """The process that owns a key; ``boot`` is random, drawn at its start."""

    host: str
    port: int
    boot: str


class Claim(msgspec.Struct, frozen=True):
    """A key's owner; ``claimed_at`` is in seconds of its monotonic clock."""

    owner: ClaimOwner
    claimed_at: float


class ClaimRegistry:
    """
    Claims keys for one process.

    ``window_seconds`` is the minimum lifetime of a claim.
    """

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
        Return the key's claim, which is that of ``owner`` if it was the first.

        If the key is claimed already or the reply is lost, the claim is read
        back. Raises `ClaimUnavailableError` if the store cannot answer.
        """
        claim_key = _claim_path(key)
        claim = Claim(owner, self.clock.monotonic())
        text = msgspec.json.encode(claim).decode()
        try:
            lease = await self._current_lease()
            await self.store.compare_and_swap(
                claim_key, 0, text, lease.lease_id
            )
        except (StoreConflictError, StoreUnavailableError) as error:
            return await self._read_back(claim_key, str(error))
        except LeaseLapsedError as error:
            self.lease = None
            raise ClaimUnavailableError(str(error)) from error
        except StoreError as error:
            raise ClaimUnavailableError(str(error)) from error
        return claim

    async def _read_back(self, claim_key: str, reason: str) -> Claim:
        try:
            stored_value = await self.store.read(claim_key)
        except StoreError as error:
            raise ClaimUnavailableError(str(error)) from error
        if not stored_value.version:
            raise ClaimUnavailableError(reason)
        return msgspec.json.decode(stored_value.value, type=Claim)

    async def _current_lease(self) -> Lease:
        """
        Return a lease that lasts for the window at least.

        A lease is replaced after one rotation. While the store grants no new
        one, the old one is used for a second rotation.
        """
        rotation_seconds = self.window_seconds / _LEASE_ROTATIONS_PER_WINDOW
        age = self.clock.monotonic() - self.lease_granted_at
        if self.lease is not None and age < rotation_seconds:
            return self.lease
        try:
            return await self._grant_lease(rotation_seconds)
        except StoreError:
            if self.lease is None or age >= rotation_seconds * 2:
                raise
            return self.lease

    async def _grant_lease(self, rotation_seconds: float) -> Lease:
        granted_at = self.clock.monotonic()
        self.lease = await self.store.grant_lease(
            'idempotency-keys',
            self.window_seconds + rotation_seconds * 2,
        )
        self.lease_granted_at = granted_at
        return self.lease


def _claim_path(key: str) -> str:
    digest = hashlib.blake2b(key.encode(), digest_size=_KEY_DIGEST_BYTES)
    return f'claims/{digest.hexdigest()}'
