"""
Log lines of the gateway process: one JSON object a line on standard output.

Writing never waits: a line that the pipe does not take is dropped, and so is
one beyond the second's share. Dropped lines are counted and the count is
logged. Lines on failures have a share of their own.
"""

__all__ = ('Journal',)

import os
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec

from zinniaturn.events.catalogue import EVENTS, LogEvent

_USUAL_LINES_A_SECOND = 25
_FAILURE_LINES_A_SECOND = 40
_STANDARD_OUTPUT = 1


@dataclass(slots=True)
class _Share:
    """How many lines may still be written in the current second."""

    limit: int
    second: int = 0
    used: int = 0

    def take(self, second: int) -> bool:
        if second != self.second:
            self.second = second
            self.used = 0
        self.used += 1
        return self.used <= self.limit


@dataclass(slots=True)
class Journal:
    """Writes numbered events of the catalogue."""

    vm: str
    output: int = _STANDARD_OUTPUT
    dropped: int = 0
    usual: _Share = field(
        default_factory=lambda: _Share(_USUAL_LINES_A_SECOND),
    )
    failures: _Share = field(
        default_factory=lambda: _Share(_FAILURE_LINES_A_SECOND),
    )

    def never_wait(self) -> None:
        """Have a full pipe refuse lines instead of holding the process up."""
        os.set_blocking(self.output, False)

    def write(
        self,
        event: LogEvent,
        is_failure: bool = False,
        **fields: Any,
    ) -> None:
        """Log an event with its fields, or count it as dropped."""
        now = time.time()
        share = self.failures if is_failure else self.usual
        if not share.take(int(now)):
            self.dropped += 1
            return
        row = {
            'time': round(now, 4),
            'vm': self.vm,
            'event': int(event),
            'message': EVENTS[event][1],
            **fields,
        }
        if self.dropped:
            row['dropped_before'] = self.dropped
            self.dropped = 0
        self._emit(row)

    def _emit(self, row: dict[str, Any]) -> None:
        line = b'%b\n' % msgspec.json.encode(row)
        try:
            os.write(self.output, line)
        except OSError:
            self.dropped += 1
