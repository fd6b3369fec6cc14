"""
Checks of a response that aiohttp's parser doesn't make.

The parser rejects a message with both kinds of length, with repeated lengths or
with bad chunks. This module checks which request a response belongs to, its
headers, and whether its end is certain.

References
----------
.. [1] R. Fielding et al., "HTTP/1.1", RFC 9112, section 6.3, 2022.

"""

__all__ = ('find_violation', 'is_self_delimited')

import re

from aiohttp.http_parser import RawResponseMessage

from zinniaturn.forwarding.messages import REQUEST_ID_HEADER, BackendRequest

_BODYLESS_STATUSES = frozenset((204, 304))
_CONTROL_CHARACTER = re.compile('[\x00-\x08\x0a-\x1f\x7f]')


def find_violation(request: BackendRequest, message: RawResponseMessage) -> str:
    """
    Return why a response must not be forwarded, or an empty string.

    A response that names another request belongs to another caller.
    """
    headers = message.headers
    echoed = headers.get(REQUEST_ID_HEADER)
    if echoed and echoed != request.headers.get(REQUEST_ID_HEADER):
        return 'the answer names another request'
    if any(_CONTROL_CHARACTER.search(text) for text in headers.values()):
        return 'a header of the answer has a control character'
    return ''


def is_self_delimited(
    request: BackendRequest, message: RawResponseMessage
) -> bool:
    """
    Return whether a truncated response is distinguishable from a complete one.

    A response that ends when the connection closes may be truncated. It is
    forwarded in the same form, so that the caller doesn't rely on its end.
    """
    return (
        message.chunked
        or 'Content-Length' in message.headers
        or request.method == 'HEAD'
        or message.code in _BODYLESS_STATUSES
    )
