"""Errors of the gateway process."""

__all__ = ('AttemptError', 'GatewayError', 'GatewaySettingsError')

from zinniaturn.errors import CodedError
from zinniaturn.http1.messages import Response
from zinniaturn.outcomes import Event, Phase


class GatewayError(CodedError):
    """The gateway process could not do what it should."""


class GatewaySettingsError(GatewayError):
    """The settings cannot be used."""

    code = 'gateway-settings-invalid'


class AttemptError(GatewayError):
    """
    One attempt at a server brought no answer for the caller.

    ``answer`` is a whole failure that the server gave, if it gave one; it is
    what the caller gets where no other attempt is made.
    """

    code = 'attempt-failed'

    def __init__(
        self,
        message: str,
        phase: Phase,
        event: Event,
        response: Response | None = None,
    ) -> None:
        super().__init__(message)
        self.phase = phase
        self.event = event
        self.response = response
