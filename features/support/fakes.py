"""Fakes at the program's interfaces."""

from zinniaturn.store import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    VersionedValue,
)


class MemoryStore:
    """
    The store's port in memory.

    A swap that arrives while the store goes out is held, as if it were still
    on its way, and can be replayed.
    """

    def __init__(self):
        self.values = {}
        self.version = 0
        self.is_out = False
        self.lost = {}
        self.out_before = set()
        self.out_after = set()
        self.held = []

    def lose_replies_of(self, key, count):
        """Lose the replies to the next writes of a key."""
        self.lost[key] = count

    def goes_out_after(self, key):
        """Go out once the next write of a key took effect."""
        self.out_after.add(key)

    def goes_out_before(self, key):
        """Go out when the next write of a key arrives, and hold it."""
        self.out_before.add(key)

    def replay_held(self):
        """Let the held writes arrive and return how they ended."""
        ended = []
        for key, expected, value in self.held:
            try:
                self._swap(key, expected, value)
            except StoreError as error:
                ended.append(error.code)
            else:
                ended.append('accepted')
        return ended

    async def read(self, key):
        """Return the key's entry."""
        self._check()
        return self.values.get(key, VersionedValue())

    async def compare_and_swap(self, key, expected_version, value, lease_id=''):
        """Write where the version is as expected."""
        self._check()
        if key in self.out_before:
            self.out_before.discard(key)
            self.held.append((key, expected_version, value))
            self.is_out = True
        self._check()
        version = self._swap(key, expected_version, value)
        if key in self.out_after:
            self.out_after.discard(key)
            self.is_out = True
        if self.lost.get(key, 0):
            self.lost[key] -= 1
            raise StoreUnavailableError('the reply was lost')
        self._check()
        return version

    async def delete(self, key, expected_version):
        """Remove the key."""
        self._check()
        if self.values.get(key, VersionedValue()).version != expected_version:
            raise StoreConflictError(key)
        self.values.pop(key, None)

    def _check(self):
        if self.is_out:
            raise StoreUnavailableError('the store is out')

    def _swap(self, key, expected_version, value):
        if self.values.get(key, VersionedValue()).version != expected_version:
            raise StoreConflictError(key)
        self.version += 1
        self.values[key] = VersionedValue(value, self.version)
        return self.version
