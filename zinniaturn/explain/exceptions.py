"""Errors of explanations."""

__all__ = ('ExplainError',)

from zinniaturn.errors import CodedError


class ExplainError(CodedError):
    """No entry could be asked."""

    code = 'explain-unavailable'
