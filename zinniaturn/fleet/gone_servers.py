"""
Servers that have gone, for the case that the store comes back from a copy.

The copy still lists servers that left in the seconds that it lacks. The store
removes such an entry after some time, since its server no longer writes to it.
"""

__all__ = ('GoneServers',)

from dataclasses import dataclass, field

from zinniaturn.fleet.domain import RegisteredServer

# An entry of a server that is silent is removed after three heartbeats.
_REVIVAL_SECONDS = 10.0
_KEPT_SECONDS = 60.0
_MOST_KEPT = 4096

_Process = tuple[str, int]


@dataclass(slots=True)
class GoneServers:
    """
    The processes of servers that went lately, by name and start.

    ``went_back_at`` is when the store was last seen to have gone back.
    """

    gone_at: dict[_Process, float] = field(default_factory=dict)
    went_back_at: float = float('-inf')

    def note_gone(self, registered: RegisteredServer, now: float) -> None:
        """Record a server that is no longer listed."""
        self.gone_at.pop(_process(registered), None)
        self.gone_at[_process(registered)] = now
        while self.gone_at:
            oldest = next(iter(self.gone_at))
            is_old = self.gone_at[oldest] < now - _KEPT_SECONDS
            if not is_old and len(self.gone_at) <= _MOST_KEPT:
                break
            self.gone_at.pop(oldest)

    def note_listed(self, registered: RegisteredServer) -> None:
        """Forget that a server had gone."""
        self.gone_at.pop(_process(registered), None)

    def is_revived(self, registered: RegisteredServer, now: float) -> bool:
        """Return whether only an older copy of the store lists a server."""
        is_soon = now - self.went_back_at < _REVIVAL_SECONDS
        return is_soon and _process(registered) in self.gone_at


def _process(registered: RegisteredServer) -> _Process:
    return registered.server.name, registered.started_ms
