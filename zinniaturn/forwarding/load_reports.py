"""
Response headers in which backend servers report their state.

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

_REPORT_FIELDS = ('busy', 'queued', 'slots')
_MAX_COUNT_DIGITS = 9
_CANONICAL_REPORT = re.compile(
    'busy=([0-9]{1,9}), queued=([0-9]{1,9}), slots=([0-9]{1,9})',
)


def parse_load_report(headers: Mapping[str, str]) -> LoadReport | None:
    """
    Return the load report of a response, ``busy=1, queued=0, slots=4``.

    Returns ``None`` if it is missing or malformed.
    """
    text = headers.get(LOAD_HEADER)
    if text is None:
        return None
    canonical = _CANONICAL_REPORT.fullmatch(text)
    if canonical is not None:
        return LoadReport(
            int(canonical[1]), int(canonical[2]), int(canonical[3])
        )
    return _parse_load(text)


def is_leaving(headers: Mapping[str, str]) -> bool:
    """Return whether the server reports that it is about to leave."""
    return headers.get(LEAVING_HEADER) == 'true'


def is_shed(message: RawResponseMessage) -> bool:
    """Return whether the server reports that it did not run the request."""
    return (
        message.code == HTTPStatus.SERVICE_UNAVAILABLE
        and message.headers.get(SHED_HEADER) == 'not-run'
    )


def _parse_load(text: str) -> LoadReport | None:
    pairs = dict(_parse_pair(part) for part in text.split(','))
    counts = [pairs.get(field, '') for field in _REPORT_FIELDS]
    if not all(_is_count(count) for count in counts):
        return None
    busy, queued, slots = (int(count) for count in counts)
    return LoadReport(busy, queued, slots)


def _parse_pair(part: str) -> tuple[str, str]:
    name, _, count = part.partition('=')
    return name.strip(), count.strip()


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= _MAX_COUNT_DIGITS
