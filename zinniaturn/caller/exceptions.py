"""Errors of the caller library."""

__all__ = ('CallerError',)

from zinniaturn.errors import CodedError


class CallerError(CodedError):
    """A request ended without a complete response; it may have run."""

    code = 'connection-lost'
