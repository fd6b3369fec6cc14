"""The results of a request's attempts, of which several may run at once."""

__all__ = ('Attempt', 'first_response', 'record_failure')

import asyncio

from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.gateway.exceptions import AttemptError
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.http1.messages import Response
from zinniaturn.outcomes import Outcome, combine_verdicts, verdict_for

Attempt = asyncio.Task[Response]


async def first_response(
    context: RequestContext, running: set[Attempt]
) -> Response:
    """Return the first response; raises the last error if all fail."""
    while True:
        done, _ = await asyncio.wait(
            running,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for attempt in done:
            running.discard(attempt)
            error = attempt.exception()
            if error is None:
                return attempt.result()
            if not running:
                raise error
            # One that was rejected was never sent.
            if not isinstance(error, RejectedError):
                assert isinstance(error, AttemptError)
                record_failure(context, error)


def record_failure(context: RequestContext, error: AttemptError) -> None:
    """
    Update the request's verdict with a failed attempt.

    An attempt that certainly did not run does not count towards the route's
    limit of attempts.
    """
    verdict = verdict_for(error.phase, error.event)
    context.verdict = combine_verdicts(context.verdict, verdict)
    context.detail = error.message
    if verdict.outcome is Outcome.NOT_RUN:
        context.attempt_count -= 1
