"""What became of a request, before it is told to whoever waits for it."""

__all__ = ('RequestResult',)

from dataclasses import dataclass

from zinniaturn.http1.messages import Response
from zinniaturn.outcomes import Outcome


@dataclass(frozen=True, slots=True)
class RequestResult:
    """
    A server's response, or the gateway's rejection.

    ``response`` is the server's own, not yet made ready for the caller. Without
    one the request was rejected with ``code``.
    """

    outcome: Outcome
    response: Response | None = None
    code: str = ''
    retry_after_seconds: float | None = None
