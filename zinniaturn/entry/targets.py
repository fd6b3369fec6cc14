"""
Parses request targets (RFC 9112, 3.2).

A target gives the host of a request, the path that its route is matched by,
and the target that is forwarded to the backend server. The forwarded target is
kept as the caller wrote it, so that its percent-encoding does not change.
"""

__all__ = ('RequestTarget', 'parse_target')

import re
from dataclasses import dataclass
from urllib.parse import unquote, urlsplit

from zinniaturn.entry.exceptions import BadRequestError

_ABSOLUTE = re.compile('^https?://', re.IGNORECASE)
_PORT = re.compile(r':\d*$')
_UNSAFE_HOST = re.compile(r'[\s/?#@\\]')


@dataclass(frozen=True, slots=True)
class RequestTarget:
    """
    The parts of a request's target.

    ``authority`` is the value of the forwarded ``Host`` header, ``host`` is
    its host in lower case, ``path`` is decoded and has no dot segments, and
    ``origin_form`` is the target in the forwarded request line.
    """

    authority: str
    host: str
    path: str
    origin_form: str


def parse_target(target: str, host_header: str) -> RequestTarget:
    """
    Return the parsed target of a request.

    An absolute target replaces the ``Host`` header. Raises
    `BadRequestError` for a target that is neither a path, ``*`` nor absolute.

    >>> parse_target('http://Cards.lv:80/a%2Fb?c', 'x').origin_form
    '/a%2Fb?c'
    >>> parse_target('/a/../b', 'Cards.lv:80').path
    '/b'
    """
    origin_form = target
    authority = host_header
    if _ABSOLUTE.match(target):
        authority, origin_form = _split_absolute(target)
    elif target != '*' and not target.startswith('/'):
        raise BadRequestError('the target is neither a path nor absolute')
    if _UNSAFE_HOST.search(authority):
        raise BadRequestError('the host is malformed')
    return RequestTarget(
        authority=authority,
        host=_PORT.sub('', authority).lower(),
        path=_routed_path(origin_form),
        origin_form=origin_form,
    )


def _split_absolute(target: str) -> tuple[str, str]:
    try:
        parts = urlsplit(target)
    except ValueError as error:
        raise BadRequestError('the target is malformed') from error
    if not parts.netloc:
        raise BadRequestError('the target names no host')
    start = target.index('//') + 2 + len(parts.netloc)
    rest = target[start:].partition('#')[0]
    return parts.netloc, rest if rest.startswith('/') else f'/{rest}'


def _routed_path(origin_form: str) -> str:
    path = unquote(origin_form.partition('?')[0].partition('#')[0])
    if '/.' not in path:
        return path
    resolved: list[str] = []
    segments = path.split('/')[1:]
    for segment in segments:
        if segment == '..':
            resolved = resolved[:-1]
        elif segment != '.':
            resolved.append(segment)
    if segments[-1] in {'.', '..'}:
        resolved.append('')
    joined = '/'.join(resolved)
    return f'/{joined}'
