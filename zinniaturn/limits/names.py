"""The names of the limits, as metrics show them."""

__all__ = ('LimitName',)

import enum


class LimitName(enum.Enum):
    """What a connection was closed for."""

    TOTAL = 'total'
    PER_CALLER = 'per-caller'
    SLOW_HEAD = 'slow-head'
    SLOW_BODY = 'slow-body'
    SLOW_READER = 'slow-reader'
