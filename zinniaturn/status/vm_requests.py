"""Requests of operators to the metrics address of one gateway process."""

__all__ = ('call_vm', 'decode_response')

from collections.abc import Mapping
from http import HTTPStatus
from typing import TypeVar

import aiohttp
import msgspec

from zinniaturn.status.exceptions import (
    EndpointMissingError,
    StatusError,
    VmNotReadyError,
)

_TIMEOUT_SECONDS = 5.0
_NOT_READY_CODE = 'not-ready'

Content = TypeVar('Content')


class _Refusal(msgspec.Struct):
    """Why a process gave no answer."""

    code: str = ''


async def call_vm(
    method: str,
    vm: str,
    path: str,
    parameters: Mapping[str, str] | None = None,
) -> bytes:
    """
    Return the body of the response of the process at ``vm``, HOST:PORT.

    Raises `VmNotReadyError` if it has no configuration, `EndpointMissingError`
    if its build has no such endpoint, and `StatusError` if it doesn't answer.
    """
    url = f'http://{vm}{path}'
    timeout = aiohttp.ClientTimeout(_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, params=parameters) as response,
        ):
            status = response.status
            body = await response.read()
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        raise StatusError(f'{url}: {error!r}') from error
    match status:
        case HTTPStatus.OK:
            return body
        case HTTPStatus.NOT_FOUND:
            raise EndpointMissingError(
                f'{url}: the process is of a build that does not answer this'
            )
        case HTTPStatus.SERVICE_UNAVAILABLE if _is_not_ready(body):
            raise VmNotReadyError(f'{url}: it has no configuration yet')
    raise StatusError(f'{url}: status {status}')


def decode_response(raw: bytes, kind: type[Content]) -> Content:
    """Return the content of a response; raises `StatusError`."""
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.DecodeError as error:
        raise StatusError(f'unreadable response: {error}') from error


def _is_not_ready(body: bytes) -> bool:
    try:
        refusal = msgspec.json.decode(body, type=_Refusal)
    except msgspec.DecodeError:
        return False
    return refusal.code == _NOT_READY_CODE
