"""Leaving failing servers out for a while, but never most of a pool."""

__all__ = ('note_failure', 'note_success')

from collections.abc import Collection

from zinniaturn.choosing.server_state import ServerState

_FAILURES = 3
_FIRST_SECONDS = 1.0
_LONGEST_SECONDS = 30.0
_MOST_SHARE = 0.5


def note_failure(
    state: ServerState,
    pool: Collection[ServerState],
    now: float,
) -> bool:
    """
    Count a failure; return whether the server was ejected for it.

    Each ejection in a row lasts twice as long. Never is more than half of the
    pool out.
    """
    state.consecutive_failures += 1
    if state.consecutive_failures < _FAILURES or state.ejected_until > now:
        return False
    out = sum(not other.is_available(now) for other in pool)
    if out + 1 > len(pool) * _MOST_SHARE:
        return False
    seconds = min(_LONGEST_SECONDS, _FIRST_SECONDS * 2**state.ejections)
    state.ejected_until = now + seconds
    state.ejections += 1
    state.warming_since = state.ejected_until
    state.consecutive_failures = _FAILURES - 1
    return True


def note_success(state: ServerState) -> None:
    """Forget the failures of a server that answers."""
    state.consecutive_failures = 0
    state.ejections = 0
