"""Errors of asking the entries."""

__all__ = ('StatusError',)

from zinniaturn.errors import CodedError


class StatusError(CodedError):
    """An entry does not answer on its admin address."""

    code = 'entry-unavailable'
