"""The bytes of answers that break off, come twice or are no answers."""

__all__ = ('CLOSING_FAULTS', 'broken_answer')

from types import MappingProxyType

from zinniaturn.http1.messages import Response, encode_response
from zinniaturn.platform.standins.faults import ServerFault

_HEAD_END = b'\r\n\r\n'
_LINE_END = b'\r\n'
_LENGTH = b'Content-Length'

# The connection is closed behind these.
CLOSING_FAULTS = frozenset(
    (
        ServerFault.UNFRAMED,
        ServerFault.SHORT,
        ServerFault.HEAD_CUT,
        ServerFault.LINE_CUT,
        ServerFault.INTERIM_CUT,
    )
)


def broken_answer(
    fault: ServerFault, response: Response, stale: Response
) -> bytes | None:
    """
    Return what a server sends instead of a response, ``None`` if nothing else.

    ``stale`` is a response to an earlier request.
    """
    whole = encode_response(response)
    head, _, body = whole.partition(_HEAD_END)
    half_body = body[: len(body) // 2]
    unframed_head = head.replace(_LENGTH, b'X-Length')
    answers = {
        ServerFault.MUTE: b'',
        ServerFault.LOST: b'',
        ServerFault.EXTRA: whole + encode_response(stale),
        ServerFault.STALE: encode_response(stale) + whole,
        ServerFault.UNFRAMED: _HEAD_END.join((unframed_head, body)),
        ServerFault.UNFRAMED_CUT: _HEAD_END.join((unframed_head, half_body)),
        ServerFault.SHORT: _HEAD_END.join((head, half_body)),
        ServerFault.HEAD_CUT: head[: len(head) // 2],
        ServerFault.LINE_CUT: head + _LINE_END,
        ServerFault.INTERIM_CUT: _interim(head),
        ServerFault.GIBBERISH: b'\x00\x01 nonsense\r\n\r\n',
    }
    return MappingProxyType(answers).get(fault)


def _interim(head: bytes) -> bytes:
    """Return an interim response with the fields of a head."""
    lines = [
        line for line in head.split(_LINE_END) if not line.startswith(_LENGTH)
    ]
    lines[0] = b'HTTP/1.1 100 Continue'
    return _LINE_END.join((*lines, b'', b''))
