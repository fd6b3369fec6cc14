"""Errors of the caller library."""

__all__ = ('CallerError',)

from zinniaturn.errors import CodedError


class CallerError(CodedError):
    """A request ended without a whole answer; it may have run."""

    code = 'connection-lost'
