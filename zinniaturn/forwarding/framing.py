"""
Whose an answer is and whether its end can be told for certain.

aiohttp's parser refuses both lengths, repeated lengths and bad chunks. What it
lets pass is looked at here.

References
----------
.. [1] R. Fielding et al., "HTTP/1.1", RFC 9112, section 6.3, 2022.

"""

__all__ = ('find_violation', 'is_self_delimited')

import re

from aiohttp.http_parser import RawResponseMessage

from zinniaturn.forwarding.messages import REQUEST_ID_HEADER, BackendRequest

_BODILESS = frozenset((204, 304))
_CONTROL = re.compile('[\x00-\x08\x0a-\x1f\x7f]')


def find_violation(request: BackendRequest, message: RawResponseMessage) -> str:
    """
    Return why an answer must not be passed on, or an empty string.

    An answer that names another request is someone else's.
    """
    headers = message.headers
    echoed = headers.get(REQUEST_ID_HEADER)
    if echoed and echoed != request.headers.get(REQUEST_ID_HEADER):
        return 'the answer names another request'
    if any(_CONTROL.search(text) for text in headers.values()):
        return 'a header of the answer has a control character'
    return ''


def is_self_delimited(
    request: BackendRequest, message: RawResponseMessage
) -> bool:
    """
    Return whether a whole answer can be told from a cut one.

    One that ends where the connection closes cannot. It is passed on in the
    same form, so that no caller takes its end for a certain one.
    """
    return (
        message.chunked
        or 'Content-Length' in message.headers
        or request.method == 'HEAD'
        or message.code in _BODILESS
    )
