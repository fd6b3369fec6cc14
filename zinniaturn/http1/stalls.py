"""Closes connections that are too slow or idle for too long."""

__all__ = ('close_if_stalled',)

from typing import TYPE_CHECKING

from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.losses import Loss

if TYPE_CHECKING:
    from zinniaturn.http1.callers import CallerConnection

_STALLED_READER_SECONDS = 30.0
# For a client to read why its request was refused while it was sending.
_LINGERING_SECONDS = 1.0


def close_if_stalled(
    connection: 'CallerConnection', now: float, limits: CallerLimits
) -> None:
    """Close a connection, or reject its request, if a time limit is over."""
    is_unsent = connection.note_sent(now)
    seconds = now - connection.last_progress_at
    if is_unsent or connection.outbox.closes:
        limit = _STALLED_READER_SECONDS if is_unsent else _LINGERING_SECONDS
        if seconds > limit:
            _abort(connection, is_unsent)
    elif connection.reader.is_receiving:
        _reject_if_late(connection, now, limits)
    elif seconds > limits.idle_seconds and not connection.exchanges:
        connection.close_if_idle()


def _abort(connection: 'CallerConnection', is_unsent: bool) -> None:
    """Close a connection whose client reads nothing, or sends on."""
    assert connection.transport is not None
    if is_unsent:
        connection.door.note(Loss.UNREAD, connection)
    connection.transport.abort()


def _reject_if_late(
    connection: 'CallerConnection', now: float, limits: CallerLimits
) -> None:
    """Reject a head that takes too long, or a body without progress."""
    # What this process doesn't read is not the client's fault.
    if not connection.is_reading:
        return
    progress_at = connection.last_progress_at
    since = connection.intake.receiving_since(now, progress_at)
    if now - max(since, connection.resumed_at) > limits.header_seconds:
        connection.reject(408, b'the request took too long')
