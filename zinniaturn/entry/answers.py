"""Answers to callers: relayed ones and the system's own."""

__all__ = ('make_refusal', 'relay_answer')

import math

import msgspec
from aiohttp import web

from zinniaturn.forwarding import Answer, ExchangeError
from zinniaturn.forwarding.messages import end_to_end_headers
from zinniaturn.outcomes import Outcome, refusal_for

OUTCOME_HEADER = 'Zinniaturn-Outcome'
CODE_HEADER = 'Zinniaturn-Code'
RETRY_AFTER_HEADER = 'Zinniaturn-Retry-After-Ms'

_MILLISECONDS = 1000
_NO_BODY = frozenset((204, 304))


class Problem(msgspec.Struct):
    """A problem document (RFC 9457)."""

    type: str
    title: str
    status: int
    detail: str
    code: str
    outcome: str
    request_id: str


def make_refusal(
    code: str,
    outcome: Outcome,
    detail: str,
    request_id: str,
    retry_after_seconds: float | None = None,
) -> web.Response:
    """Return an answer of the system's own with its outcome and code."""
    refusal = refusal_for(code)
    problem = Problem(
        type=f'urn:zinniaturn:{code}',
        title=refusal.title,
        status=int(refusal.status),
        detail=detail,
        code=code,
        outcome=outcome.value,
        request_id=request_id,
    )
    headers = {OUTCOME_HEADER: outcome.value, CODE_HEADER: code}
    if retry_after_seconds is not None:
        headers['Retry-After'] = str(math.ceil(retry_after_seconds))
        headers[RETRY_AFTER_HEADER] = str(
            math.ceil(retry_after_seconds * _MILLISECONDS),
        )
    return web.Response(
        status=int(refusal.status),
        headers=headers,
        body=msgspec.json.encode(problem),
        content_type='application/problem+json',
    )


async def relay_answer(
    request: web.BaseRequest,
    answer: Answer,
) -> web.StreamResponse:
    """
    Pass an answer on as it comes.

    Where it is cut short, the caller's connection is cut too, so that the
    caller cannot take it for a whole one. Raises `ExchangeError` then.
    """
    response = web.StreamResponse(
        status=answer.message.code,
        reason=answer.message.reason,
        headers=end_to_end_headers(answer.message.headers),
    )
    try:
        await _stream(request, response, answer)
    except ExchangeError:
        if request.transport is not None:
            request.transport.abort()
        raise
    except BaseException:
        answer.abandon()
        raise
    return response


async def _stream(
    request: web.BaseRequest,
    response: web.StreamResponse,
    answer: Answer,
) -> None:
    is_bodyless = request.method == 'HEAD' or response.status in _NO_BODY
    if response.content_length is None and not is_bodyless:
        if request.version.minor:
            response.enable_chunked_encoding()
    await response.prepare(request)
    async for chunk in answer.read_chunks():
        await response.write(chunk)
    await response.write_eof()
