"""What an entry knows of one backend server."""

__all__ = ('Completion', 'LoadReport', 'ServerState')

from dataclasses import dataclass

from zinniaturn.tables.domain import Server


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A backend server's word on its own load, already stale on arrival."""

    busy: int
    queued: int
    slots: int


@dataclass(frozen=True, slots=True)
class Completion:
    """
    How one exchange ended, for the estimates.

    ``report`` is the load figure on the reply, if it had one.
    """

    succeeded: bool
    latency_seconds: float
    report: LoadReport | None = None
    shed: bool = False


@dataclass(slots=True)
class ServerState:
    """
    One server of a pool as this entry sees it.

    ``in_flight`` counts this entry's own requests and is exact.
    """

    server: Server
    in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = 0
    consecutive_failures: int = 0
    ejected_until: float = 0
    leaving: bool = False

    def is_available(self, now: float) -> bool:
        """Return whether the server may get new work."""
        return (
            not self.leaving
            and not self.server.leaving
            and now >= self.ejected_until
        )
