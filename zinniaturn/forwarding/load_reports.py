"""
What backend servers say of themselves on their answers.

The header names are those that the backend servers document.
"""

__all__ = (
    'LEAVING_HEADER',
    'LOAD_HEADER',
    'SHED_HEADER',
    'is_leaving',
    'is_shed',
    'parse_load_report',
)

import re
from collections.abc import Mapping
from http import HTTPStatus

from aiohttp.http_parser import RawResponseMessage

from zinniaturn.choosing import LoadReport

LOAD_HEADER = 'Server-Load'
SHED_HEADER = 'Server-Shed'
LEAVING_HEADER = 'Server-Leaving'

_FIELDS = ('busy', 'queued', 'slots')
_MAX_COUNT_DIGITS = 9
_USUAL = re.compile(
    'busy=([0-9]{1,9}), queued=([0-9]{1,9}), slots=([0-9]{1,9})',
)


def parse_load_report(headers: Mapping[str, str]) -> LoadReport | None:
    """
    Return the load figure ``busy=1, queued=0, slots=4`` of an answer.

    Returns ``None`` where there is none or it is malformed.
    """
    text = headers.get(LOAD_HEADER)
    if text is None:
        return None
    usual = _USUAL.fullmatch(text)
    if usual is not None:
        return LoadReport(int(usual[1]), int(usual[2]), int(usual[3]))
    return _parse_load(text)


def is_leaving(headers: Mapping[str, str]) -> bool:
    """Return whether the server says that it is about to leave."""
    return headers.get(LEAVING_HEADER) == 'true'


def is_shed(message: RawResponseMessage) -> bool:
    """Return whether the server says that it did not run the request."""
    return (
        message.code == HTTPStatus.SERVICE_UNAVAILABLE
        and message.headers.get(SHED_HEADER) == 'not-run'
    )


def _parse_load(text: str) -> LoadReport | None:
    pairs = dict(_pair(part) for part in text.split(','))
    figures = [pairs.get(field, '') for field in _FIELDS]
    if not all(_is_count(figure) for figure in figures):
        return None
    busy, queued, slots = (int(figure) for figure in figures)
    return LoadReport(busy, queued, slots)


def _pair(part: str) -> tuple[str, str]:
    name, _, figure = part.partition('=')
    return name.strip(), figure.strip()


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= _MAX_COUNT_DIGITS
