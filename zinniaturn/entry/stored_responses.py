"""Stores responses of backend servers and replays them to repeated requests."""

__all__ = ('ResponseRecorder', 'replay')

from aiohttp import web

from zinniaturn.entry.responses import relay_response
from zinniaturn.forwarding import BackendResponse
from zinniaturn.forwarding.messages import (
    REQUEST_ID_HEADER,
    end_to_end_headers,
)
from zinniaturn.idempotency import StoredResponse

REPLAYED_HEADER = 'Zinniaturn-Replayed'

_MAX_STORED_BODY_BYTES = 16_384


class ResponseRecorder:
    """
    Relays one response and stores it if its body is small.

    ``response_begun`` is true once the head of a backend server's response has
    arrived. ``stored`` is the response once a small body was received whole; a
    larger body is relayed as a stream and not stored.
    """

    def __init__(self) -> None:
        self.response_begun = False
        self.stored: StoredResponse | None = None

    async def relay(
        self,
        request: web.BaseRequest,
        backend_response: BackendResponse,
    ) -> web.StreamResponse:
        """Return the response; raises what `relay_response` raises."""
        self.response_begun = True
        chunks = backend_response.read_chunks()
        buffered: list[bytes] = []
        body_bytes = 0
        async for chunk in chunks:
            buffered.append(chunk)
            body_bytes += len(chunk)
            if body_bytes > _MAX_STORED_BODY_BYTES:
                backend_response.put_back(buffered)
                return await relay_response(request, backend_response)
        self.stored = StoredResponse(
            status=backend_response.message.code,
            reason=backend_response.message.reason,
            headers=tuple(
                end_to_end_headers(backend_response.message.headers).items()
            ),
            body=b''.join(buffered),
        )
        return _response(self.stored)


def replay(stored: StoredResponse, request_id: str) -> web.Response:
    """Return a stored response with the request id of the repeated request."""
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
