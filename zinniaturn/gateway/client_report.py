"""Counts and logs the clients that were refused, closed or held back."""

__all__ = ('ClientReport',)

from dataclasses import dataclass, field

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.client_account import ClientAccount
from zinniaturn.placing.rate_limit import RateLimit

_LOG_EVERY_SECONDS = 5.0


@dataclass(slots=True)
class ClientReport:
    """
    Writes one line for all clients of some seconds; waiting alone isn't logged.

    The cost doesn't depend on the number of clients.
    """

    state: GatewayState
    account: ClientAccount
    limit: RateLimit = field(
        default_factory=lambda: RateLimit(_LOG_EVERY_SECONDS)
    )

    def tick(self, now: float) -> None:
        """Count what has happened since the last call, and log it in time."""
        losses = self.account.losses
        for key, count in losses.counts.items():
            self.state.counters.events[key[0].value] += count
        losses.move_to_log()
        if not losses.has_given_way or not self.limit.admit(now):
            return
        logged, hosts = losses.take_logged()
        self.state.event_log.write(
            LogEvent.CLIENTS_GAVE_WAY,
            counts=logged,
            clients=hosts,
            held_bytes=self.account.budget.held,
            most_bytes=self.account.budget.most,
            peak_bytes=self.account.peak_bytes,
            connections={
                place.value: door.count
                for place, door in self.account.doors.items()
            },
        )
