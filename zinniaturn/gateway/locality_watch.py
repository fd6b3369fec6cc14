"""Follows the distances between data centres, and logs what leaves."""

__all__ = ('LocalityWatch',)

from dataclasses import dataclass, field

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.settings import GatewaySettings
from zinniaturn.gateway.state import GatewayState
from zinniaturn.locality.activation import ActivationReason
from zinniaturn.locality.distances import Distances

_MOST_LOGGED_DATA_CENTRES = 8
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class LocalityWatch:
    """
    Turns the choice by data centre on and off.

    ``logged`` is what was logged last: whether it is on, and why.
    """

    state: GatewayState
    distances: Distances = field(init=False)
    logged: tuple[bool, ActivationReason] = (
        False,
        ActivationReason.NOT_MEASURED,
    )

    def __post_init__(self) -> None:
        """Begin without any distance."""
        self.distances = Distances(self.state.settings.data_center)

    def note_round_trip(self, data_center: str, seconds: float) -> None:
        """Record the round trip to a VM of a data centre."""
        self.distances.note(
            data_center, seconds, self.state.vms.clock.monotonic()
        )

    def apply(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        self.state.locality.set_weights(settings.locality)
        self.state.locality.activation.set_rules(
            settings.locality_mode, settings.bounds.follows_evacuations
        )

    def tick(self, now: float) -> None:
        """Review the distances and log what has changed."""
        clock_now = self.state.vms.clock.monotonic()
        activation = self.state.locality.activation
        beyond_own = self.distances.beyond_own(clock_now)
        activation.review(beyond_own.values())
        if (activation.is_on, activation.reason) != self.logged:
            self._log(beyond_own, self.distances.inside_seconds(clock_now))
        if activation.is_on:
            self._log_departures(now)

    def _log(self, beyond_own: dict[str, float], inside: float | None) -> None:
        """Log that data centres count now, or that they do not."""
        activation = self.state.locality.activation
        self.logged = activation.is_on, activation.reason
        farthest = sorted(beyond_own, key=beyond_own.__getitem__, reverse=True)
        self.state.event_log.write(
            LogEvent.LOCALITY_SWITCHED,
            is_on=activation.is_on,
            reason=activation.reason.value,
            setting=activation.mode.value,
            inside_ms=None if inside is None else _milliseconds(inside),
            beyond_ms={
                name: _milliseconds(beyond_own[name])
                for name in farthest[:_MOST_LOGGED_DATA_CENTRES]
            },
            data_centres=len(beyond_own),
        )

    def _log_departures(self, now: float) -> None:
        """Log the pools of which another share leaves the data centre."""
        locality = self.state.locality
        for change in locality.departures.take_changes(now):
            self.state.event_log.write(
                LogEvent.LEAVING_CHANGED,
                pool=change.pool,
                share=round(change.share, 2),
                before=round(change.before, 2),
                requests=change.requests,
                reason=change.reason,
                **locality.pool(change.pool).inputs(now),
            )


def _milliseconds(seconds: float) -> float:
    return round(seconds * _MS_PER_SECOND, 2)
