"""The states of an entry, from its start to its last request."""

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
    A state machine; a trigger that does not apply changes nothing.

    The triggers are `tables_installed`, `drain` and `finish`; each returns
    whether it applied.
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
        """Return whether the entry was told to stop."""
        return self.state in _STOPPING_STATES

    def log_ready(self) -> None:
        """Log that the entry is ready."""
        log_event(LogEvent.ENTRY_READY)

    def log_draining(self) -> None:
        """Log that the entry drains."""
        log_event(LogEvent.ENTRY_DRAINING)

    def log_stopped(self) -> None:
        """Log that the entry has stopped."""
        log_event(LogEvent.ENTRY_STOPPED)
