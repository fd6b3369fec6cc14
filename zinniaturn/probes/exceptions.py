"""Errors of the measuring requests."""

__all__ = ('ProbeError',)

from zinniaturn.errors import CodedError


class ProbeError(CodedError):
    """A measuring request got no load report."""

    code = 'probe-failed'
