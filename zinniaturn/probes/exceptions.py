"""Errors of the measuring requests."""

__all__ = ('ProbeError',)

from zinniaturn.errors import CodedError


class ProbeError(CodedError):
    """A measuring request brought no load figure."""

    code = 'probe-failed'
