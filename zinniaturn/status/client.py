"""Reads the status and the tables of one entry from its admin address."""

__all__ = ('read_entry_tables', 'read_status')

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

    With ``change_id`` the status says whether the entry has that change in
    force.
    """
    path = f'/status?change={change_id}'
    status = await _read(session, admin, path, EntryStatus)
    status.admin = admin
    return status


async def read_entry_tables(
    session: aiohttp.ClientSession,
    admin: str,
) -> Snapshot:
    """Return the tables in force at an entry; raises `StatusError`."""
    response = await _read(session, admin, '/tables', TablesResponse)
    texts = {
        bucket: response.texts[ref.digest]
        for bucket, ref in response.head.segments.items()
        if ref.digest in response.texts
    }
    try:
        return assemble_snapshot(response.head, texts, EMPTY_SNAPSHOT)
    except StoredStateError as error:
        raise StatusError(f'{admin}: {error.message}') from error


async def _read(
    session: aiohttp.ClientSession,
    admin: str,
    path: str,
    model: type[Model],
) -> Model:
    try:
        async with get_from_admin(session, admin, path) as response:
            status = response.status
            body = await response.read()
    except (TimeoutError, aiohttp.ClientError) as error:
        raise StatusError(f'{admin}{path}: {type(error).__name__}') from error
    if status != HTTPStatus.OK:
        raise StatusError(f'{admin}{path}: status {status}')
    try:
        return msgspec.json.decode(body, type=model)
    except msgspec.DecodeError as error:
        raise StatusError(f'{admin}{path}: {error}') from error
