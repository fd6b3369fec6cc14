"""Names of the limits, as used in metrics."""

__all__ = ('LimitName',)

import enum


class LimitName(enum.Enum):
    """The limit for which a connection was closed."""

    TOTAL = 'total'
    PER_CALLER = 'per-caller'
    SLOW_HEAD = 'slow-head'
    SLOW_BODY = 'slow-body'
    SLOW_READER = 'slow-reader'
