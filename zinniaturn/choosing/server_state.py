"""The state that an entry keeps of one backend server."""

__all__ = ('Completion', 'LoadReport', 'ServerState')

from dataclasses import dataclass, field

from zinniaturn.choosing.limits import ConcurrencyLimit
from zinniaturn.choosing.reports import LoadReport
from zinniaturn.tables.domain import Server


@dataclass(frozen=True, slots=True)
class Completion:
    """
    How one exchange with a server ended.

    ``report`` is the load report on the response, if it had one. ``shed`` means
    that the server rejected the request as overloaded, ``leaving`` that it
    announced that it is leaving. ``cancelled`` means that the entry itself
    ended the exchange, so that ``latency_seconds`` is only a lower bound, and
    ``timed_out`` that its deadline passed.
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
    What this entry knows of one server of a pool.

    ``in_flight`` counts this entry's own requests and is exact.
    ``sent_since_report`` counts those sent after ``report`` was received and
    ``sent_at`` is when the last one was sent. ``service_seconds`` is the
    estimated service time without the wait, 0 if not known, and ``served_at``
    the time of its last sample. ``ejections`` counts those since the last
    success. ``slow_start_since`` is when a slow start began. Times are
    monotonic seconds.
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
    slow_start_since: float | None = None
    leaving: bool = False
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)

    @property
    def slots(self) -> int:
        """Return the slots of the last report, else those of the table."""
        return self.report.slots if self.report else self.server.slots

    def is_available(self, now: float) -> bool:
        """Return whether the server may get new requests."""
        return (
            not self.leaving
            and not self.server.leaving
            and now >= self.ejected_until
        )

    def has_room(self, now: float) -> bool:
        """Return whether the limit allows this entry one more request."""
        allowed = self.limit.allowed(self.slots, self.slow_start_since, now)
        return self.in_flight < allowed

    def note_report(self, report: LoadReport, now: float) -> None:
        """Store a newer report and adjust the limit to it."""
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0
        self.limit.update(report.queued, report.slots)
