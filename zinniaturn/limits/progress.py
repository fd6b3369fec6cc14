"""
How slowly a caller may send its request or read its answer.

A head must be whole within a time. A body and an answer must move on by some
bytes within a time, so that neither a stalled nor a trickling caller holds a
connection for ever, while a long transfer may take as long as it needs.
"""

__all__ = ('ProgressLimits', 'TransferProgress', 'TransferStep')

import enum
from dataclasses import dataclass
from types import MappingProxyType

from zinniaturn.limits.names import LimitName

_MIN_PROGRESS_BYTES = 1024


class TransferStep(enum.Enum):
    """What a connection waits for from its caller."""

    NOTHING = 'nothing'
    HEAD = 'head'
    BODY = 'body'
    READER = 'reader'


@dataclass(frozen=True, slots=True)
class ProgressLimits:
    """Seconds for a whole head, and without progress of a body or reader."""

    head_seconds: float
    body_seconds: float
    reader_seconds: float


_LIMIT_NAMES = MappingProxyType(
    {
        TransferStep.HEAD: LimitName.SLOW_HEAD,
        TransferStep.BODY: LimitName.SLOW_BODY,
        TransferStep.READER: LimitName.SLOW_READER,
    }
)


@dataclass(slots=True)
class TransferProgress:
    """
    The last progress of one connection.

    >>> progress = TransferProgress()
    >>> limits = ProgressLimits(10, 30, 30)
    >>> progress.exceeded_limit(TransferStep.HEAD, 0, limits, now=0) is None
    True
    >>> progress.exceeded_limit(TransferStep.HEAD, 0, limits, now=11).value
    'slow-head'
    """

    step: TransferStep = TransferStep.NOTHING
    transferred_bytes: int = 0
    last_progress_at: float = 0

    def exceeded_limit(
        self,
        step: TransferStep,
        transferred_bytes: int,
        limits: ProgressLimits,
        now: float,
    ) -> LimitName | None:
        """
        Update the progress and return the limit that is exceeded, if any.

        ``transferred_bytes`` counts the bytes transferred in this step.
        At least ``_MIN_PROGRESS_BYTES`` more count as progress; in the head
        step no number of bytes does.
        """
        has_moved = (
            transferred_bytes - self.transferred_bytes >= _MIN_PROGRESS_BYTES
        )
        if step is not self.step or (
            has_moved and step is not TransferStep.HEAD
        ):
            self.step = step
            self.transferred_bytes = transferred_bytes
            self.last_progress_at = now
            return None
        if now - self.last_progress_at <= _seconds_of(step, limits):
            return None
        return _LIMIT_NAMES[step]


def _seconds_of(step: TransferStep, limits: ProgressLimits) -> float:
    match step:
        case TransferStep.HEAD:
            return limits.head_seconds
        case TransferStep.BODY:
            return limits.body_seconds
        case TransferStep.READER:
            return limits.reader_seconds
    return float('inf')
