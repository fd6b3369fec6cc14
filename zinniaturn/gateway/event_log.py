"""
Writes the gateway's log events to standard output, one JSON object per line.

Writing never blocks the event loop: a line is dropped if the pipe is full or
if the quota of lines for the current second is used up. Dropped lines are
counted, and the next line that is written carries the count. Failures have a
quota of their own, so that regular lines cannot crowd them out.
"""

__all__ = ('EventLog',)

import os
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec

from zinniaturn.events.catalogue import EVENTS, LogEvent

_REGULAR_LINES_PER_SECOND = 25
_FAILURE_LINES_PER_SECOND = 40
_STDOUT_DESCRIPTOR = 1


@dataclass(slots=True)
class _LineQuota:
    """A limit on the lines that are written in one second."""

    lines_per_second: int
    current_second: int = 0
    lines_written: int = 0

    def admit(self, current_second: int) -> bool:
        if current_second != self.current_second:
            self.current_second = current_second
            self.lines_written = 0
        self.lines_written += 1
        return self.lines_written <= self.lines_per_second


@dataclass(slots=True)
class EventLog:
    """Writes the numbered events of the event catalogue."""

    vm: str
    output_descriptor: int = _STDOUT_DESCRIPTOR
    dropped_lines: int = 0
    regular_quota: _LineQuota = field(
        default_factory=lambda: _LineQuota(_REGULAR_LINES_PER_SECOND),
    )
    failure_quota: _LineQuota = field(
        default_factory=lambda: _LineQuota(_FAILURE_LINES_PER_SECOND),
    )

    def set_nonblocking(self) -> None:
        """Make writes to a full pipe fail instead of blocking the process."""
        os.set_blocking(self.output_descriptor, False)

    def write(
        self,
        event: LogEvent,
        is_failure: bool = False,
        **fields: Any,
    ) -> None:
        """Write an event with its fields, or count it as dropped."""
        now = time.time()
        quota = self.failure_quota if is_failure else self.regular_quota
        if not quota.admit(int(now)):
            self.dropped_lines += 1
            return
        row = {
            'time': round(now, 4),
            'vm': self.vm,
            'event': int(event),
            'message': EVENTS[event][1],
            **fields,
        }
        if self.dropped_lines:
            row['dropped_before'] = self.dropped_lines
            self.dropped_lines = 0
        self._write_row(row)

    def _write_row(self, row: dict[str, Any]) -> None:
        """Write a line; one that can't be encoded or written is dropped."""
        try:
            line = b'%b\n' % msgspec.json.encode(row)
            os.write(self.output_descriptor, line)
        except (OSError, OverflowError, TypeError, ValueError):
            # Whoever logs goes on; the next line counts this one as dropped.
            self.dropped_lines += 1
