"""Logs and counts requests that become suspected or held, or no longer are."""

__all__ = ('log_standing',)

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.state import GatewayState
from zinniaturn.quarantine.request_key import format_key
from zinniaturn.quarantine.verdicts import Standing

_MOST_LOGGED = 8
_MS_PER_SECOND = 1000


def log_standing(
    state: GatewayState, former: Standing | None, present: Standing | None
) -> None:
    """Log how a request stands now, with the evidence."""
    standing = present or former
    if standing is None:
        return
    event = _event_of(present)
    quarantine = state.quarantine
    now = quarantine.clock.monotonic()
    held_seconds = standing.held_until - now if standing.is_held else 0
    state.counters.events[event.name.lower()] += 1
    state.event_log.write(
        event,
        is_failure=True,
        key=format_key(standing.key),
        crashes=len(standing.moments),
        completions=standing.completions,
        servers=standing.servers[-_MOST_LOGGED:],
        ages_ms=[
            round((now - at) * _MS_PER_SECOND)
            for at in standing.moments[-_MOST_LOGGED:]
        ],
        witnesses=quarantine.witnesses(standing.key),
        held_seconds=round(max(0, held_seconds), 1),
    )


def _event_of(standing: Standing | None) -> LogEvent:
    if standing is None or not standing.is_suspected:
        return LogEvent.REQUEST_CLEARED
    if standing.is_held:
        return LogEvent.REQUEST_HELD
    return LogEvent.REQUEST_SUSPECTED
