"""Errors of the forwarding layer."""

__all__ = ('ExchangeError',)

from zinniaturn.errors import CodedError
from zinniaturn.outcomes.table import Event, Phase


class ExchangeError(CodedError):
    """An exchange ended early in ``phase`` because of ``event``."""

    code = 'exchange-failed'

    def __init__(self, message: str, phase: Phase, event: Event) -> None:
        super().__init__(message)
        self.phase = phase
        self.event = event
