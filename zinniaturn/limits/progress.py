"""
How slowly a caller may send its request or read its answer.

A head must be whole within a time. A body and an answer must move on by some
bytes within a time, so that neither a stalled nor a trickling caller holds a
connection for ever, while a long transfer may take as long as it needs.
"""

__all__ = ('Progress', 'ProgressLimits', 'Step')

import enum
from dataclasses import dataclass
from types import MappingProxyType

from zinniaturn.limits.names import LimitName

_LEAST_BYTES = 1024


class Step(enum.Enum):
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
        Step.HEAD: LimitName.SLOW_HEAD,
        Step.BODY: LimitName.SLOW_BODY,
        Step.READER: LimitName.SLOW_READER,
    }
)


@dataclass(slots=True)
class Progress:
    """
    The last progress of one connection.

    >>> progress = Progress()
    >>> limits = ProgressLimits(10, 30, 30)
    >>> progress.exceeded(Step.HEAD, 0, limits, now=0) is None
    True
    >>> progress.exceeded(Step.HEAD, 0, limits, now=11).value
    'slow-head'
    """

    step: Step = Step.NOTHING
    amount: int = 0
    since: float = 0

    def exceeded(
        self,
        step: Step,
        amount: int,
        limits: ProgressLimits,
        now: float,
    ) -> LimitName | None:
        """
        Note what is waited for and return the limit that is exceeded.

        ``amount`` is the bytes that have passed in this step; only so many
        more count as progress, and none does for a head.
        """
        has_moved = amount - self.amount >= _LEAST_BYTES
        if step is not self.step or (has_moved and step is not Step.HEAD):
            self.step = step
            self.amount = amount
            self.since = now
            return None
        if now - self.since <= _seconds_of(step, limits):
            return None
        return _LIMIT_NAMES[step]


def _seconds_of(step: Step, limits: ProgressLimits) -> float:
    match step:
        case Step.HEAD:
            return limits.head_seconds
        case Step.BODY:
            return limits.body_seconds
        case Step.READER:
            return limits.reader_seconds
    return float('inf')
