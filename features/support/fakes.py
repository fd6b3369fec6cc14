"""In-memory fakes of external services."""

from zinniaturn.store import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    VersionedValue,
)


class MemoryStore:
    """
    A configuration store in memory that can fail around a write.

    `fail_before` keeps the next write of a key as if it were still in flight;
    `deliver_held_writes` lets it arrive later.
    """

    def __init__(self):
        self.values = {}
        self.version = 0
        self.is_out = False
        self.replies_to_lose = {}
        self.fail_before_keys = set()
        self.fail_after_keys = set()
        self.held_writes = []

    def lose_replies(self, key, count):
        """Lose the replies to the next ``count`` writes of a key."""
        self.replies_to_lose[key] = count

    def fail_after(self, key):
        """Become unavailable once the next write of a key took effect."""
        self.fail_after_keys.add(key)

    def fail_before(self, key):
        """Become unavailable at the next write of a key, and hold the write."""
        self.fail_before_keys.add(key)

    def deliver_held_writes(self):
        """Let the held writes arrive; return 'accepted' or error codes."""
        outcomes = []
        for key, expected, value in self.held_writes:
            try:
                self._swap(key, expected, value)
            except StoreError as error:
                outcomes.append(error.code)
            else:
                outcomes.append('accepted')
        return outcomes

    async def read(self, key):
        """Return the key's value and version."""
        self._check_available()
        return self.values.get(key, VersionedValue())

    async def compare_and_swap(self, key, expected_version, value, lease_id=''):
        """Write if the key has the expected version."""
        self._check_available()
        if key in self.fail_before_keys:
            self.fail_before_keys.discard(key)
            self.held_writes.append((key, expected_version, value))
            self.is_out = True
        self._check_available()
        version = self._swap(key, expected_version, value)
        if key in self.fail_after_keys:
            self.fail_after_keys.discard(key)
            self.is_out = True
        if self.replies_to_lose.get(key, 0):
            self.replies_to_lose[key] -= 1
            raise StoreUnavailableError('the reply was lost')
        self._check_available()
        return version

    async def delete(self, key, expected_version):
        """Delete the key if it has the expected version."""
        self._check_available()
        if self.values.get(key, VersionedValue()).version != expected_version:
            raise StoreConflictError(key)
        self.values.pop(key, None)

    def _check_available(self):
        if self.is_out:
            raise StoreUnavailableError('the store is out')

    def _swap(self, key, expected_version, value):
        if self.values.get(key, VersionedValue()).version != expected_version:
            raise StoreConflictError(key)
        self.version += 1
        self.values[key] = VersionedValue(value, self.version)
        return self.version
