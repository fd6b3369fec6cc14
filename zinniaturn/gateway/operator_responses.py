"""What operators' endpoints at the metrics port have in common."""

__all__ = ('not_ready', 'read_query', 'respond_json')

from collections.abc import Mapping
from urllib.parse import parse_qs

import msgspec

from zinniaturn.http1.messages import Response

_JSON_TYPE = (b'Content-Type', b'application/json')


def respond_json(content: object, status: int = 200) -> Response:
    """Return a response with a document."""
    return Response(status, b'', [_JSON_TYPE], msgspec.json.encode(content))


def not_ready() -> Response:
    """Return the response of a process that has no configuration yet."""
    return respond_json({'code': 'not-ready'}, 503)


def read_query(query: bytes) -> Mapping[str, str]:
    """Return the parameters of a target; of equal names the first one."""
    parsed = parse_qs(query.decode('latin-1'), keep_blank_values=True)
    return {name: texts[0] for name, texts in parsed.items()}
