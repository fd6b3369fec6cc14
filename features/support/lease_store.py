"""An in-memory store whose leases expire by a manual clock."""

import itertools

from zinniaturn.store import (
    Lease,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from zinniaturn.store.port import VersionedValue


class LeaseStore:
    """Keys and leases; while ``is_out`` is set every call fails."""

    def __init__(self, clock):
        self.clock = clock
        self.is_out = False
        self.numbers = itertools.count(1)
        self.keys = {}
        self.leases = {}
        self.ttls = {}

    async def read(self, key):
        self._check_available()
        return self._find(key)[0]

    async def compare_and_swap(self, key, expected_version, value, lease_id=''):
        self._check_available()
        self._check_lease(lease_id)
        if self._find(key)[0].version != expected_version:
            raise StoreConflictError(key)
        version = next(self.numbers)
        self.keys[key] = VersionedValue(value, version), lease_id
        return version

    async def delete(self, key, expected_version):
        self._check_available()
        if self._find(key)[0].version != expected_version:
            raise StoreConflictError(key)
        self.keys.pop(key, None)

    async def grant_lease(self, holder, ttl_seconds):
        self._check_available()
        number = next(self.numbers)
        lease_id = f'lease-{number}'
        self.ttls[lease_id] = ttl_seconds
        self.leases[lease_id] = self.clock.monotonic() + ttl_seconds
        return Lease(lease_id, number, ttl_seconds)

    async def renew_lease(self, lease_id):
        self._check_available()
        self._check_lease(lease_id)
        self.leases[lease_id] = self.clock.monotonic() + self.ttls[lease_id]

    async def release_lease(self, lease_id):
        self._check_available()
        self.leases.pop(lease_id, None)

    def forget(self):
        """Remove all keys and leases, as a store that restarts empty does."""
        self.keys.clear()
        self.leases.clear()

    def _check_available(self):
        if self.is_out:
            raise StoreUnavailableError('out')

    def _check_lease(self, lease_id):
        if self.clock.monotonic() >= self.leases.get(lease_id, 0):
            raise StoreError('the lease has expired')

    def _find(self, key):
        entry, lease_id = self.keys.get(key, (VersionedValue(), ''))
        if lease_id and self.clock.monotonic() >= self.leases.get(lease_id, 0):
            return VersionedValue(), ''
        return entry, lease_id
