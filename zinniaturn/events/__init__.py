"""Provides numbered, structured log events."""

__all__ = (
    'EVENTS',
    'LogEvent',
    'configure_logging',
    'log_event',
    'record_events',
)

from zinniaturn.events.catalogue import EVENTS, LogEvent
from zinniaturn.events.logging import (
    configure_logging,
    log_event,
    record_events,
)
