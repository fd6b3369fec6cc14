"""Outlier ejection of failing servers, limited to half of a pool."""

__all__ = ('note_failure', 'note_success')

from collections.abc import Collection

from zinniaturn.choosing.server_state import ServerState

_FAILURES_TO_EJECT = 3
_FIRST_EJECTION_SECONDS = 1.0
_LONGEST_EJECTION_SECONDS = 30.0
_MAX_EJECTED_SHARE = 0.5


def note_failure(
    state: ServerState,
    pool: Collection[ServerState],
    now: float,
) -> bool:
    """
    Count a failure; return whether the server was ejected for it.

    Each ejection since the last success lasts twice as long as the one before.
    No server is ejected if more than half of the pool would be unavailable.
    """
    state.consecutive_failures += 1
    if (
        state.consecutive_failures < _FAILURES_TO_EJECT
        or state.ejected_until > now
    ):
        return False
    unavailable = sum(not other.is_available(now) for other in pool)
    if unavailable + 1 > len(pool) * _MAX_EJECTED_SHARE:
        return False
    seconds = min(
        _LONGEST_EJECTION_SECONDS, _FIRST_EJECTION_SECONDS * 2**state.ejections
    )
    state.ejected_until = now + seconds
    state.ejections += 1
    state.slow_start_since = state.ejected_until
    state.consecutive_failures = _FAILURES_TO_EJECT - 1
    return True


def note_success(state: ServerState) -> None:
    """Reset the failure counts of a server after a success."""
    state.consecutive_failures = 0
    state.ejections = 0
