"""Errors of the choosing package."""

__all__ = ('ChoosingError', 'RejectedError', 'UnknownPolicyError')

from zinniaturn.errors import CodedError


class ChoosingError(CodedError):
    """No server could be chosen."""


class RejectedError(ChoosingError):
    """
    No server can take the request now; it was not run.

    ``retry_after_seconds`` is the time after which the caller should retry.
    """

    code = 'no-server'

    def __init__(
        self,
        message: str,
        code: str,
        retry_after_seconds: float = 1,
    ) -> None:
        super().__init__(message, code)
        self.retry_after_seconds = retry_after_seconds


class UnknownPolicyError(ChoosingError):
    """There is no policy of this name."""

    code = 'policy-unknown'
