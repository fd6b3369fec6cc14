"""Decodes what servers say of themselves in the headers of responses."""

__all__ = ('STATEMENT_FIELDS', 'decode_statement')

import re
from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import TypeVar

from zinniaturn.admission.statement import ServerStatement
from zinniaturn.choosing.reports import LoadReport
from zinniaturn.http1.messages import Fields, Response, find_field

_RESPONDING_SERVER = b'x-instance-id'
# Running requests, queued requests, slots and, optionally, the VM's slowness in
# hundredths.
_LOAD_REPORT = b'x-upstream-load'
# Requests per second that the server takes from all VMs together.
_LIMIT = b'server-limit'
_LEAVING = b'server-leaving'
# Milliseconds for which the server stays cold.
_WARM_UP = b'x-warmup-ms'
# Seconds; only a rejection with status 503 is about requests of this VM.
_RETRY_AFTER = b'retry-after'

# Fields that are for this VM only and not forwarded to callers.
STATEMENT_FIELDS = frozenset((_LOAD_REPORT, _RESPONDING_SERVER))

_FIGURE = re.compile(rb'[0-9]{1,9}')
_DECIMAL = re.compile(rb'[0-9]{1,9}(\.[0-9]{0,9})?')
_LEAVING_TEXTS = MappingProxyType({b'1': True, b'0': False})
_LONGEST_PAUSE_SECONDS = 60.0
_LONGEST_WARM_UP_SECONDS = 3600.0
_MILLISECONDS_PER_SECOND = 1000
_SLOWNESS_SCALE = 100
_REQUIRED_LOAD_FIGURES = 3

Value = TypeVar('Value')


def decode_statement(response: Response) -> ServerStatement:
    """Return what a response says of the server that sent it."""
    fields = response.fields
    unreadable: list[str] = []
    limit = _decode_field(fields, _LIMIT, _decimal, 'limit', unreadable)
    is_leaving = _decode_field(
        fields, _LEAVING, _LEAVING_TEXTS.get, 'is_leaving', unreadable
    )
    pause_seconds = None
    if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
        pause_seconds = _decode_field(
            fields, _RETRY_AFTER, _decimal, 'pause_seconds', unreadable
        )
    warm_up_ms = _decode_field(
        fields, _WARM_UP, _decimal, 'warm_up_seconds', unreadable
    )
    warm_up_seconds = (warm_up_ms or 0) / _MILLISECONDS_PER_SECOND
    name = find_field(fields, _RESPONDING_SERVER)
    return ServerStatement(
        server=None if name is None else name.decode('latin-1'),
        load=_load_report(fields),
        is_healthy=response.status == HTTPStatus.OK,
        limit=limit,
        is_leaving=bool(is_leaving),
        pause_seconds=min(_LONGEST_PAUSE_SECONDS, pause_seconds or 0),
        unreadable=tuple(unreadable),
        warm_up_seconds=min(_LONGEST_WARM_UP_SECONDS, warm_up_seconds),
    )


def _decode_field(
    fields: Fields,
    name: bytes,
    decode: Callable[[bytes], Value | None],
    attribute: str,
    unreadable: list[str],
) -> Value | None:
    """
    Return the decoded value of a field, ``None`` where it is missing.

    A field that occurs several times or can't be decoded is added to
    ``unreadable``.
    """
    texts = [text.strip() for key, text in fields if key.lower() == name]
    if not texts:
        return None
    decoded = decode(texts[0]) if len(texts) == 1 else None
    if decoded is None:
        unreadable.append(attribute)
    return decoded


def _decimal(text: bytes) -> float | None:
    return float(text) if _DECIMAL.fullmatch(text) else None


def _load_report(fields: Fields) -> LoadReport | None:
    """Return the load report, ``None`` if there is none or it is malformed."""
    text = find_field(fields, _LOAD_REPORT)
    if text is None:
        return None
    texts = [figure.strip() for figure in text.split(b',')]
    if not all(map(_FIGURE.fullmatch, texts)):
        return None
    figures = [int(figure) for figure in texts]
    if len(figures) < _REQUIRED_LOAD_FIGURES or figures[2] < 1:
        return None
    slowness = _SLOWNESS_SCALE
    if len(figures) > _REQUIRED_LOAD_FIGURES:
        slowness = figures[_REQUIRED_LOAD_FIGURES]
    busy, queued, slots = figures[:_REQUIRED_LOAD_FIGURES]
    return LoadReport(busy, queued, slots, slowness / _SLOWNESS_SCALE)
