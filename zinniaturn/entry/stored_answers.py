"""Stores answers of backend servers and replays them to repeated requests."""

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

_MAX_STORED_BODY_BYTES = 16_384


class AnswerRecorder:
    """
    Relays one answer and stores it if its body is small.

    ``answer_begun`` is true once the head of a backend server's answer has
    arrived. ``stored`` is the answer once a small body was received whole; a
    larger body is relayed as a stream and not stored.
    """

    def __init__(self) -> None:
        self.answer_begun = False
        self.stored: StoredResponse | None = None

    async def relay(
        self,
        request: web.BaseRequest,
        answer: BackendResponse,
    ) -> web.StreamResponse:
        """Return the response; raises what `relay_answer` raises."""
        self.answer_begun = True
        chunks = answer.read_chunks()
        buffered: list[bytes] = []
        body_bytes = 0
        async for chunk in chunks:
            buffered.append(chunk)
            body_bytes += len(chunk)
            if body_bytes > _MAX_STORED_BODY_BYTES:
                answer.put_back(buffered)
                return await relay_answer(request, answer)
        self.stored = StoredResponse(
            status=answer.message.code,
            reason=answer.message.reason,
            headers=tuple(end_to_end_headers(answer.message.headers).items()),
            body=b''.join(buffered),
        )
        return _response(self.stored)


def replay(stored: StoredResponse, request_id: str) -> web.Response:
    """Return a stored answer with the request id of the repeated request."""
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
