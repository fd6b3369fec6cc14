"""Writes log events as JSON, one object per line."""

__all__ = ('configure_logging', 'log_event', 'record_events')

import logging
import sys

from zinniaturn.events.catalogue import EVENTS, LogEvent

_LOGGER = logging.getLogger('zinniaturn')


def configure_logging(level: str, node: str) -> None:
    """
    Send the program's events to standard error as JSON.

    ``level`` is a name such as ``INFO``; ``node`` is a field of every line.
    """
    # Imported here so that only processes that log load the library.
    from pythonjsonlogger.json import JsonFormatter

    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            '%(message)s',
            timestamp=True,
            static_fields={'node': node},
        ),
    )
    _LOGGER.handlers = [handler]
    _LOGGER.propagate = False
    _LOGGER.setLevel(level)


def log_event(event: LogEvent, **fields: object) -> None:
    """Log an event of the catalogue with its fields."""
    level, text = EVENTS[event]
    if _LOGGER.isEnabledFor(level):
        _LOGGER.log(level, text, extra={'event': int(event), **fields})


def record_events(handler: logging.Handler) -> None:
    """Add a handler that also gets every logged event."""
    _LOGGER.addHandler(handler)
