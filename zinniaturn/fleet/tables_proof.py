"""
Until when the tables in force were certainly the store's newest.

A withdrawn key must stop working in time, so that this proof is stricter than
the time at which a state was confirmed. It comes from a read of the store, as
of the start of the read, or from another VM, as of this VM's question less the
age that the reply states. A message that nobody asked for may have waited for
any time on its way or in a buffer, and proves nothing.

A document that can't be read may have withdrawn keys. While it is the newest
one, nothing proves the tables of an earlier one, and their proof only ages.

Work: a few comparisons for each message and request, two numbers of memory.
"""

__all__ = ('TablesProof',)

from dataclasses import dataclass

from zinniaturn.clock import Clock

_MS_PER_SECOND = 1000


@dataclass(slots=True)
class TablesProof:
    """
    The proof of the tables in force.

    ``revision`` is that of their document, 0 while the newest document can't be
    read. ``outdated_revision`` is that of a document which is not used because
    a later version is in force. ``proven_at`` is by the boot clock.

    It stays when newer tables are installed: their document was written after
    that time, so they were the newest at a later one.
    """

    clock: Clock
    revision: int = 0
    outdated_revision: int = 0
    proven_at: float = float('-inf')
    is_missing: bool = False

    @property
    def age_seconds(self) -> float:
        """Return the time since which keys may have been withdrawn."""
        return self.clock.monotonic() - self.proven_at

    @property
    def age_ms(self) -> int | None:
        """Return the age rounded up, ``None`` where nothing is proven."""
        if not self.revision or self.proven_at == float('-inf'):
            return None
        return max(0, int(self.age_seconds * _MS_PER_SECOND)) + 1

    @property
    def is_possible(self) -> bool:
        """Return whether a read of the store can prove the tables."""
        return bool(self.revision) and not self.is_missing

    def prove(self, revision: int, as_of: float) -> float:
        """
        Note that a document's revision was the store's newest at a time.

        Returns by how many seconds the proof has become younger.
        """
        gained = self.gain(revision, as_of)
        if gained > 0:
            self.proven_at = as_of
            self.is_missing = False
        return gained

    def gain(self, revision: int, as_of: float) -> float:
        """Return by how many seconds the proof would become younger."""
        own = (self.revision, self.outdated_revision)
        if not self.revision or revision not in own:
            return 0
        return max(0, as_of - self.proven_at)
