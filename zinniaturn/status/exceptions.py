"""Exceptions for requests to the entries' admin addresses."""

__all__ = ('StatusError',)

from zinniaturn.errors import CodedError


class StatusError(CodedError):
    """An entry did not answer at its admin address, or not as expected."""

    code = 'entry-unavailable'
