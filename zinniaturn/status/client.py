"""Reading of one entry's admin address."""

__all__ = ('read_status', 'read_tables_of')

from http import HTTPStatus
from typing import TypeVar

import aiohttp
import msgspec

from zinniaturn.configuration import Snapshot
from zinniaturn.configuration.exceptions import StoredStateError
from zinniaturn.configuration.snapshot import EMPTY_SNAPSHOT, assemble_snapshot
from zinniaturn.status.exceptions import StatusError
from zinniaturn.status.models import EntryStatus, TablesResponse
from zinniaturn.tls.operators import get_from_admin

Model = TypeVar('Model', bound=msgspec.Struct)


async def read_status(
    session: aiohttp.ClientSession,
    admin: str,
    change_id: str = '',
) -> EntryStatus:
    """
    Return the status of the entry at ``host:port``; raises `StatusError`.

    With ``change_id`` the entry says whether it has that change in force.
    """
    path = f'/status?change={change_id}'
    status = await _read(session, admin, path, EntryStatus)
    status.admin = admin
    return status


async def read_tables_of(
    session: aiohttp.ClientSession,
    admin: str,
) -> Snapshot:
    """Return the tables that an entry holds; raises `StatusError`."""
    answer = await _read(session, admin, '/tables', TablesResponse)
    texts = {
        bucket: answer.texts[ref.digest]
        for bucket, ref in answer.head.segments.items()
        if ref.digest in answer.texts
    }
    try:
        return assemble_snapshot(answer.head, texts, EMPTY_SNAPSHOT)
    except StoredStateError as error:
        raise StatusError(f'{admin}: {error.message}') from error


async def _read(
    session: aiohttp.ClientSession,
    admin: str,
    path: str,
    model: type[Model],
) -> Model:
    try:
        async with get_from_admin(session, admin, path) as reply:
            status = reply.status
            body = await reply.read()
    except (TimeoutError, aiohttp.ClientError) as error:
        raise StatusError(f'{admin}{path}: {type(error).__name__}') from error
    if status != HTTPStatus.OK:
        raise StatusError(f'{admin}{path}: status {status}')
    try:
        return msgspec.json.decode(body, type=model)
    except msgspec.DecodeError as error:
        raise StatusError(f'{admin}{path}: {error}') from error
