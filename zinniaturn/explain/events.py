"""Records numbered log events as decisions."""

__all__ = ('EventRecorder',)

import logging
from collections.abc import Callable

from zinniaturn.explain.decisions import EventLogged
from zinniaturn.explain.recorder import Recorder

_STANDARD_ATTRIBUTES = frozenset(
    logging.LogRecord('', 0, '', 0, '', None, None).__dict__,
) | {'message', 'asctime', 'event', 'taskName'}


class EventRecorder(logging.Handler):
    """A log handler that records and counts every numbered event."""

    def __init__(
        self,
        node: str,
        recorder: Recorder,
        count_event: Callable[[int], None],
    ) -> None:
        super().__init__()
        self.node = node
        self.recorder = recorder
        self.count_event = count_event

    def emit(self, record: logging.LogRecord) -> None:
        """Record and count a catalogued event; ignore other log records."""
        event = getattr(record, 'event', None)
        if event is None:
            return
        fields = ', '.join(
            f'{name}={value}'
            for name, value in record.__dict__.items()
            if name not in _STANDARD_ATTRIBUTES
        )
        self.count_event(int(event))
        self.recorder.record(
            EventLogged(
                self.node,
                int(event),
                record.getMessage(),
                fields,
            ),
        )
