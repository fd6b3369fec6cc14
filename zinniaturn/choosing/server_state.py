"""What an entry knows of one backend server."""

__all__ = ('Completion', 'LoadReport', 'ServerState')

from dataclasses import dataclass, field

from zinniaturn.choosing.limits import ConcurrencyLimit
from zinniaturn.choosing.reports import LoadReport
from zinniaturn.tables.domain import Server


@dataclass(frozen=True, slots=True)
class Completion:
    """
    How one exchange ended, for the estimates.

    ``report`` is the load figure on the reply, if it had one. ``cancelled``
    is an exchange that the entry itself ended, which says nothing of the
    server but that it took so long; ``timed_out`` is one whose deadline passed.
    """

    succeeded: bool
    latency_seconds: float
    report: LoadReport | None = None
    shed: bool = False
    cancelled: bool = False
    timed_out: bool = False
    leaving: bool = False


@dataclass(slots=True)
class ServerState:
    """
    One server of a pool as this entry sees it.

    ``in_flight`` counts this entry's own requests and is exact.
    ``sent_since_report`` counts those sent after ``report`` was received and
    ``sent_at`` is when the last was sent.
    ``service_seconds`` is the estimate of an execution without its wait, 0
    where nothing is known. Times are monotonic seconds.
    """

    server: Server
    in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = 0
    sent_since_report: int = 0
    sent_at: float = 0
    service_seconds: float = 0
    served_at: float = 0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    warming_since: float | None = None
    leaving: bool = False
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)

    @property
    def slots(self) -> int:
        """Return the slots that the server reported, else the table's."""
        return self.report.slots if self.report else self.server.slots

    def is_available(self, now: float) -> bool:
        """Return whether the server may get new work."""
        return (
            not self.leaving
            and not self.server.leaving
            and now >= self.ejected_until
        )

    def has_room(self, now: float) -> bool:
        """Return whether this entry may have one more request there."""
        allowed = self.limit.allowed(self.slots, self.warming_since, now)
        return self.in_flight < allowed

    def note_report(self, report: LoadReport, now: float) -> None:
        """Take over a newer report."""
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0
        self.limit.update(report.queued, report.slots)
