"""Errors of the explain package."""

__all__ = ('ExplainError',)

from zinniaturn.errors import CodedError


class ExplainError(CodedError):
    """No entry returned an explanation."""

    code = 'explain-unavailable'
