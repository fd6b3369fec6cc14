"""Answers of backend servers as they are kept for repeats."""

__all__ = ('AnswerRecorder', 'replay')

from aiohttp import web

from zinniaturn.entry.answers import relay_answer
from zinniaturn.forwarding import BackendResponse
from zinniaturn.forwarding.messages import (
    REQUEST_ID_HEADER,
    end_to_end_headers,
)
from zinniaturn.idempotency import StoredResponse

REPLAYED_HEADER = 'Zinniaturn-Replayed'

_MAX_KEPT_BYTES = 16_384


class AnswerRecorder:
    """
    Relays one answer; a small one is read whole first and kept.

    ``has_answered`` says that a backend server's answer has begun, and
    ``kept`` is that answer once it is whole and small.
    """

    def __init__(self) -> None:
        self.has_answered = False
        self.kept: StoredResponse | None = None

    async def relay(
        self,
        request: web.BaseRequest,
        answer: BackendResponse,
    ) -> web.StreamResponse:
        """Return the response; raises as `relay_answer` does."""
        self.has_answered = True
        chunks = answer.read_chunks()
        begun: list[bytes] = []
        kept_bytes = 0
        async for chunk in chunks:
            begun.append(chunk)
            kept_bytes += len(chunk)
            if kept_bytes > _MAX_KEPT_BYTES:
                answer.put_back(begun)
                return await relay_answer(request, answer)
        self.kept = StoredResponse(
            status=answer.message.code,
            reason=answer.message.reason,
            headers=tuple(end_to_end_headers(answer.message.headers).items()),
            body=b''.join(begun),
        )
        return _response(self.kept)


def replay(stored: StoredResponse, request_id: str) -> web.Response:
    """Return a kept answer to a repeat, under the repeat's own id."""
    response = _response(stored)
    response.headers[REPLAYED_HEADER] = 'true'
    if response.headers.popall(REQUEST_ID_HEADER, None):
        response.headers[REQUEST_ID_HEADER] = request_id
    return response


def _response(stored: StoredResponse) -> web.Response:
    response = web.Response(
        status=stored.status,
        reason=stored.reason,
        body=stored.body,
    )
    response.headers.popall('Content-Type', None)
    for name, text in stored.headers:
        if name.lower() != 'content-length':
            response.headers.add(name, text)
    return response
