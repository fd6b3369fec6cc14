"""Errors of the gateway process."""

__all__ = (
    'AttemptError',
    'GatewayError',
    'GatewaySettingsError',
    'PlacementOutdatedError',
)

from zinniaturn.errors import CodedError
from zinniaturn.http1.messages import Response
from zinniaturn.outcomes import Event, Phase


class GatewayError(CodedError):
    """Base class of the gateway process's errors."""


class GatewaySettingsError(GatewayError):
    """The settings are invalid."""

    code = 'gateway-settings-invalid'


class AttemptError(GatewayError):
    """
    One attempt at a server gave no successful response.

    ``phase`` and ``event`` say how far the request got and what went wrong.
    ``response`` is the server's complete error response, if it sent one; it is
    forwarded to the caller if no further attempt is made.
    ``retry_after_seconds`` is when the caller may return, if another VM has
    said so.
    """

    code = 'attempt-failed'

    def __init__(
        self,
        message: str,
        phase: Phase,
        event: Event,
        response: Response | None = None,
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(message)
        self.phase = phase
        self.event = event
        self.response = response
        self.retry_after_seconds = retry_after_seconds


class PlacementOutdatedError(AttemptError):
    """
    A request was not sent, as its server may get none any more.

    It is placed anew without a part of the budget for retries, since no server
    got anything.
    """

    code = 'placement-outdated'

    def __init__(self, message: str) -> None:
        super().__init__(message, Phase.NOT_SENT, Event.CONNECT_FAILED)
