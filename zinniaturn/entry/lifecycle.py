"""The state machine of an entry's lifecycle."""

__all__ = ('Lifecycle',)

from collections.abc import Callable

from transitions import Machine

from zinniaturn.events import LogEvent, log_event

_STATES = ('starting', 'ready', 'draining', 'stopped')
_STOPPING_STATES = frozenset(('draining', 'stopped'))
_TRANSITIONS = (
    {
        'trigger': 'tables_installed',
        'source': 'starting',
        'dest': 'ready',
        'after': 'log_ready',
    },
    {
        'trigger': 'drain',
        'source': ('starting', 'ready'),
        'dest': 'draining',
        'after': 'log_draining',
    },
    {
        'trigger': 'finish',
        'source': 'draining',
        'dest': 'stopped',
        'after': 'log_stopped',
    },
)


class Lifecycle:
    """
    The lifecycle state, one of starting, ready, draining and stopped.

    The triggers are `tables_installed`, `drain` and `finish`. A trigger that
    is not valid in the current state has no effect and returns false.
    """

    state: str
    tables_installed: Callable[[], bool]
    drain: Callable[[], bool]
    finish: Callable[[], bool]

    def __init__(self) -> None:
        self.machine = Machine(
            self,
            states=list(_STATES),
            transitions=list(_TRANSITIONS),
            initial='starting',
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )

    def is_stopping(self) -> bool:
        """Return whether the entry is draining or stopped."""
        return self.state in _STOPPING_STATES

    def log_ready(self) -> None:
        """Log that the entry is ready."""
        log_event(LogEvent.ENTRY_READY)

    def log_draining(self) -> None:
        """Log that the entry is draining."""
        log_event(LogEvent.ENTRY_DRAINING)

    def log_stopped(self) -> None:
        """Log that the entry has stopped."""
        log_event(LogEvent.ENTRY_STOPPED)
