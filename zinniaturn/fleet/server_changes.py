"""
The last changes of a fleet's servers, so that only these need to be sent.

A change of one server among thousands is a few dozen bytes; the rows of all
servers are hundreds of kilobytes. A VM that is only a few changes behind gets
the servers that have changed since the state that it holds.
"""

__all__ = ('ServerChanges', 'changed_names')

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from zinniaturn.fleet.domain import RegisteredServer

_CHANGES_KEPT = 32


@dataclass(frozen=True, slots=True)
class _Change:
    """The servers that differ between two states, given by their digests."""

    before: int
    after: int
    names: frozenset[str]


@dataclass(slots=True)
class ServerChanges:
    """
    The names of the servers that changed, for the last 32 changes.

    >>> changes = ServerChanges()
    >>> changes.note(1, 2, {'a'})
    >>> changes.note(2, 3, {'b'})
    >>> sorted(changes.since(1)), changes.since(7)
    (['a', 'b'], None)
    """

    changes: deque[_Change] = field(
        default_factory=lambda: deque(maxlen=_CHANGES_KEPT)
    )

    def note(self, before: int, after: int, names: Iterable[str]) -> None:
        """Record a change from one digest of the servers to another."""
        self.changes.append(_Change(before, after, frozenset(names)))

    def knows(self, digest: int) -> bool:
        """Return whether the changes since a state are known."""
        return any(change.before == digest for change in self.changes)

    def since(self, digest: int) -> frozenset[str] | None:
        """
        Return the servers changed since a state, ``None`` if it is too old.

        The state is given by the digest of its servers.
        """
        names: frozenset[str] = frozenset()
        for change in reversed(self.changes):
            names |= change.names
            if change.before == digest:
                return names
        return None


def changed_names(
    before: Mapping[str, RegisteredServer],
    after: Mapping[str, RegisteredServer],
) -> set[str]:
    """Return the names of servers that were added, changed or removed."""
    changed = {
        name
        for name, registered in after.items()
        if before.get(name) != registered
    }
    return changed | (before.keys() - after.keys())
