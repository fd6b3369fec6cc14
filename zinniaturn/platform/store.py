"""
A client of the platform's store that implements the fleet's store interface.

A connection on which a reply was lost cannot be used again, so a call that
gets no reply closes its connection.
"""

__all__ = ('PlatformStore',)

import asyncio
import base64
from collections.abc import Collection
from dataclasses import replace
from typing import Any
from urllib.parse import quote

import msgspec

from zinniaturn.errors import cause_of
from zinniaturn.fleet.domain import (
    FleetSnapshot,
    StoredVm,
    TablesDocument,
    VmRecord,
)
from zinniaturn.fleet.exceptions import FleetStoreError
from zinniaturn.fleet.revisions import join_revision
from zinniaturn.fleet.tables import FleetTables
from zinniaturn.http1.backend import Exchange
from zinniaturn.http1.connections import Address, ConnectionPool
from zinniaturn.http1.exceptions import ConnectFailedError, ExchangeBrokenError
from zinniaturn.http1.messages import Response, find_field
from zinniaturn.platform.documents import decode_document
from zinniaturn.platform.stored_items import (
    EVACUATION_PREFIX,
    HIGHEST_REVISION,
    HOLD_PREFIX,
    VM_PREFIX,
    DecodedItems,
    StoredItem,
)
from zinniaturn.quarantine.hold_record import HoldRecord, StoredHold

_CALL_TIMEOUT_SECONDS = 0.7
_NO_ID_FIELD = b'-'
# Rises each time that the store has come back from an older copy.
_ERA = b'store-era'
_HIGHEST_ERA = 2**20
_OK_STATUS = 200


class _Page(msgspec.Struct):
    """
    Items in the order of their keys, as of ``current_rev`` or later.

    ``era`` is not part of the body; a header of the reply tells it.
    """

    items: list[StoredItem]
    more_pages: bool
    current_rev: int
    era: int = 0


_page_decoder = msgspec.json.Decoder(_Page)


class PlatformStore:
    """A client of the store; its calls raise `FleetStoreError`."""

    def __init__(self, address: Address, own_host: str) -> None:
        self.address = address
        self.connections = ConnectionPool(own_host)

    async def read_snapshot(self) -> FleetSnapshot:
        """Read all keys of the store, page by page."""
        return await self._read_snapshot('')

    async def read_evacuations(
        self, used: Collection[str]
    ) -> tuple[int, frozenset[str]]:
        """
        Return the store's revision and the evacuated data centres.

        If they are too many, those in ``used`` come first.
        """
        snapshot = await self._read_snapshot(EVACUATION_PREFIX, used)
        if snapshot.evacuated is None:
            raise FleetStoreError('a page is older than the first')
        return snapshot.revision, snapshot.evacuated

    async def _read_snapshot(
        self, prefix: str, used: Collection[str] = ()
    ) -> FleetSnapshot:
        """
        Read the keys with a prefix, page by page.

        A page that is older than the first may lack an evacuation; then none
        are told.
        """
        items: list[StoredItem] = []
        first: _Page | None = None
        after = ''
        is_consistent = True
        while True:
            page = await self._read_page(prefix, after)
            first = first or page
            is_consistent = is_consistent and _follows(first, page)
            if page.era != first.era:
                raise FleetStoreError(
                    f'the era changed from {first.era} to {page.era} in a read'
                )
            items.extend(page.items)
            if not (page.more_pages and page.items):
                snapshot = _build_snapshot(first, items, used)
                if is_consistent:
                    return snapshot
                return replace(snapshot, evacuated=None)
            after = page.items[-1].key

    async def list_vms(self) -> tuple[StoredVm, ...]:
        """Return the records of VMs; the copy may be seconds old."""
        page = _decode_page(
            await self._call(
                b'GET', f'/kv-range?prefix={quote(VM_PREFIX)}&serializable=1'
            ),
        )
        return _build_snapshot(page, page.items).vms

    def decode_tables(self, document: TablesDocument) -> FleetTables:
        """Return the tables of a document; raises `BadDocumentError`."""
        return decode_document(document)

    async def register(self, record: VmRecord) -> None:
        """Write a VM's record, replacing its previous one."""
        await self._put(VM_PREFIX + record.name, record)

    async def unregister(self, listed: StoredVm) -> None:
        """Remove a VM's record if it is still the one that was read."""
        await self._remove(VM_PREFIX + listed.record.name, listed.revision)

    async def write_hold(self, hold: HoldRecord) -> None:
        """Write a held request, replacing what the store has of it."""
        await self._put(HOLD_PREFIX + hold.key, hold)

    async def remove_hold(self, stored: StoredHold) -> None:
        """Remove a held request if it is still the one that was read."""
        await self._remove(HOLD_PREFIX + stored.record.key, stored.revision)

    async def _put(self, key: str, content: VmRecord | HoldRecord) -> None:
        """Write an item, replacing the previous one."""
        value = base64.b64encode(msgspec.json.encode(content)).decode()
        put = {'key': key, 'value': value, 'lease': 0}
        await self._transact(
            {'expected_revision': [], 'puts': [put], 'remove': []}
        )

    async def _remove(self, key: str, revision: int) -> None:
        """Remove an item if it still has this revision."""
        expected = {'key': key, 'revision': revision}
        await self._transact(
            {'expected_revision': [expected], 'puts': [], 'remove': [key]}
        )

    async def _transact(self, body: dict[str, Any]) -> None:
        await self._call(b'POST', '/kv-txn', body)

    async def _read_page(self, prefix: str, after: str) -> _Page:
        query = f'?prefix={quote(prefix)}'
        if after:
            query = f'{query}&after={quote(after)}'
        reply = await self._call(b'GET', f'/kv-range{query}')
        return _decode_page(reply)

    async def _call(
        self,
        method: bytes,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> Response:
        payload = _encode_request(method, path, self.address[0], body)
        loop = asyncio.get_running_loop()
        connection = self.connections.take_idle(self.address, loop.time())
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
                if connection is None:
                    connection = await self.connections.connect(
                        self.address,
                        _CALL_TIMEOUT_SECONDS,
                    )
                reply = await connection.send(Exchange(payload, _NO_ID_FIELD))
        except (TimeoutError, ConnectFailedError, ExchangeBrokenError) as error:
            raise FleetStoreError(f'{path}: {error!r}') from error
        else:
            self.connections.release(self.address, connection, reply)
            connection = None
        finally:
            if connection is not None:
                connection.close()
        return _check_status(path, reply)


def _encode_request(
    method: bytes,
    path: str,
    host: str,
    body: dict[str, Any] | None,
) -> bytes:
    head = b'%b %b HTTP/1.1\r\nHost: %b\r\n' % (
        method,
        path.encode(),
        host.encode(),
    )
    if body is None:
        return b'%b\r\n' % head
    raw = msgspec.json.encode(body)
    fields = b'Content-Type: application/json\r\nContent-Length: %d\r\n\r\n'
    return b''.join((head, fields % len(raw), raw))


def _check_status(path: str, reply: Response) -> Response:
    if reply.status == _OK_STATUS:
        return reply
    raise FleetStoreError(f'{path}: status {reply.status}')


def _decode_page(reply: Response) -> _Page:
    try:
        page = _page_decoder.decode(reply.body)
        page.era = int(find_field(reply.fields, _ERA) or 0)
    except (ValueError, RecursionError) as error:
        raise FleetStoreError(f'unreadable reply: {cause_of(error)}') from error
    if not 0 <= page.era <= _HIGHEST_ERA:
        raise FleetStoreError(f'the era {page.era} is out of range')
    if not 0 <= page.current_rev <= HIGHEST_REVISION:
        raise FleetStoreError('the revision is out of range')
    return page


def _follows(first: _Page, page: _Page) -> bool:
    """Return whether a page shows all that had been written by the first."""
    return page.current_rev >= first.current_rev


def _build_snapshot(
    first: _Page, items: list[StoredItem], used: Collection[str] = ()
) -> FleetSnapshot:
    """Return the snapshot of pages whose first one is given."""
    decoded = DecodedItems(first.era)
    for item in items:
        try:
            decoded.add(item)
        except Exception as error:
            # Whatever another writer has stored must cost its own item alone;
            # the decoder gives up in several ways.
            decoded.unreadable.append(f'{item.key}: {cause_of(error)}')
    evacuated = decoded.bounded_evacuated(used)
    return FleetSnapshot(
        join_revision(first.era, first.current_rev),
        decoded.document,
        tuple(decoded.servers),
        tuple(decoded.vms),
        tuple(decoded.unreadable),
        tuple(decoded.holds),
        evacuated,
    )
