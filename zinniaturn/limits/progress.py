"""
Time limits on sending a request and reading its response.

The head must be complete within a time limit. For a body and a response, a
minimum number of bytes must be transferred within a time limit. This way no
stalled or trickling caller holds a connection forever, while a long transfer
may take as long as it needs.
"""

__all__ = ('ProgressLimits', 'TransferProgress', 'TransferStep')

import enum
from dataclasses import dataclass
from types import MappingProxyType

from zinniaturn.limits.names import LimitName

_MIN_PROGRESS_BYTES = 1024


class TransferStep(enum.Enum):
    """The step of the caller that a connection waits for."""

    NOTHING = 'nothing'
    HEAD = 'head'
    BODY = 'body'
    READER = 'reader'


@dataclass(frozen=True, slots=True)
class ProgressLimits:
    """Time limits for the head, and for a body or reader without progress."""

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
    The latest progress of one connection.

    ``last_progress_at`` is when the step began or last made progress, and
    ``transferred_bytes`` the bytes transferred in the step by then.

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
        has_progressed = (
            transferred_bytes - self.transferred_bytes >= _MIN_PROGRESS_BYTES
        )
        if step is not self.step or (
            has_progressed and step is not TransferStep.HEAD
        ):
            self.step = step
            self.transferred_bytes = transferred_bytes
            self.last_progress_at = now
            return None
        if now - self.last_progress_at <= _time_limit_seconds(step, limits):
            return None
        return _LIMIT_NAMES[step]


def _time_limit_seconds(step: TransferStep, limits: ProgressLimits) -> float:
    match step:
        case TransferStep.HEAD:
            return limits.head_seconds
        case TransferStep.BODY:
            return limits.body_seconds
        case TransferStep.READER:
            return limits.reader_seconds
    return float('inf')
