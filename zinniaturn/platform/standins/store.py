"""A stand-in for the platform's store."""

__all__ = ('StoreStandIn',)

import asyncio
import base64
import itertools
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any
from urllib.parse import parse_qs

import msgspec

from zinniaturn.http1.exchanges import CallerExchange, Reply
from zinniaturn.http1.messages import Response
from zinniaturn.platform.standins.faults import StoreFault
from zinniaturn.platform.standins.loopback import LoopbackService
from zinniaturn.standins.connection_reset import reset_connection

_ITEMS_PER_PAGE = 500
_RANGE_PATH = '/kv-range'
_MILLISECONDS_PER_SECOND = 1000
_READ_ONLY_PREFIXES = ('op/', 'servers/')
_FAULT_STATUSES = MappingProxyType(
    {StoreFault.BUSY: 503, StoreFault.TOO_MANY: 429},
)


@dataclass(slots=True)
class _StoredValue:
    value: str
    revision: int
    created_revision: int
    lease: int


@dataclass(slots=True)
class StoreStandIn(LoopbackService):
    """
    A key-value store with leases and revisions.

    ``faults`` holds the fault for the calls of each host; the key ``''``
    applies to all hosts. ``era`` rises each time that the store comes back from
    an older copy. ``calls`` counts the calls by path, and
    ``reads_by_host`` the range reads of each host.
    """

    keys: dict[str, _StoredValue] = field(default_factory=dict)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    revision: int = 1
    faults: dict[str, StoreFault] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)
    page_items: int = _ITEMS_PER_PAGE
    reads_by_host: Counter[str] = field(default_factory=Counter)
    era: int = 1
    lease_ids: 'itertools.count[int]' = field(
        default_factory=lambda: itertools.count(1),
    )

    def write(self, key: str, document: Any, lease: int = 0) -> int:
        """Write a document as an operator or a server would."""
        raw = document
        if not isinstance(document, bytes):
            raw = msgspec.json.encode(document)
        return self._put(key, base64.b64encode(raw).decode(), lease)

    def remove(self, key: str) -> None:
        """Remove a key as a server does when it is gone."""
        if self.keys.pop(key, None) is not None:
            self.revision += 1

    def go_back(self, keys: dict[str, _StoredValue], revision: int) -> None:
        """Come back from a copy of the keys; leases are lost."""
        self.keys = dict(keys)
        self.leases.clear()
        self.revision = revision
        self.era += 1

    def write_again(
        self,
        written: dict[str, _StoredValue],
        copy: dict[str, _StoredValue],
    ) -> None:
        """
        Write what the operator and the servers had written and is lost.

        What has been written since the store came back from ``copy`` stays.
        """
        for key in sorted({*written, *copy}):
            is_unchanged = self.keys.get(key) is copy.get(key)
            is_lost = written.get(key) is not copy.get(key)
            if not (is_lost and is_unchanged):
                continue
            if not key.startswith(_READ_ONLY_PREFIXES):
                continue
            lost = written.get(key)
            if lost is None:
                self.remove(key)
            else:
                self._put(key, lost.value, 0)

    def handle(self, exchange: CallerExchange) -> Reply:
        """Serve a call, or apply the fault that is set for its host."""
        path, _, query = exchange.request.target.decode().partition('?')
        self.calls[path] = self.calls.get(path, 0) + 1
        self._expire_leases()
        host = _client_host(exchange)
        self.reads_by_host[host] += path == _RANGE_PATH
        fault = self._fault_for(host)
        status = _FAULT_STATUSES.get(fault) if fault else None
        if status is not None:
            return Response(status, b'', [])
        if fault is StoreFault.RESET:
            return _reset_call(exchange)
        if fault is StoreFault.SILENT:
            return _never_reply()
        reply = self._serve(exchange, path, parse_qs(query))
        reply.fields.append((b'Store-Era', b'%d' % self.era))
        if fault is StoreFault.LOST:
            return _never_reply()
        return reply

    def _fault_for(self, host: str) -> StoreFault | None:
        return self.faults.get('', self.faults.get(host))

    def _serve(
        self,
        exchange: CallerExchange,
        path: str,
        query: dict[str, list[str]],
    ) -> Response:
        operation, _, lease = path.lstrip('/').partition('/')
        body = exchange.request.body
        routes: dict[tuple[bytes, str], Callable[[], Response]] = {
            (b'GET', 'kv-key'): lambda: self._read_key(query),
            (b'GET', 'kv-range'): lambda: self._read_range(query),
            (b'POST', 'kv-txn'): lambda: self._transact(body),
            (b'POST', 'kv-lease'): lambda: self._grant_lease(body),
            (b'POST', 'kv-keep'): lambda: self._renew_lease(int(lease)),
            (b'DELETE', 'kv-lease-end'): lambda: self._revoke_lease(int(lease)),
        }
        handler = routes.get((exchange.request.method, operation))
        return handler() if handler else Response(404, b'', [])

    def _read_key(self, query: dict[str, list[str]]) -> Response:
        key = query['key'][0]
        if key not in self.keys:
            return _json_response({'current_rev': self.revision}, 404)
        return _json_response(
            {**self._item_document(key), 'current_rev': self.revision}
        )

    def _read_range(self, query: dict[str, list[str]]) -> Response:
        prefix = query.get('prefix', [''])[0]
        after = query.get('after', [''])[0]
        matching_keys = sorted(
            key for key in self.keys if key.startswith(prefix) and key > after
        )
        page = matching_keys[: self.page_items]
        return _json_response(
            {
                'items': [self._item_document(key) for key in page],
                'more_pages': len(matching_keys) > len(page),
                'current_rev': self.revision,
            },
        )

    def _transact(self, body: bytes) -> Response:
        call = msgspec.json.decode(body)
        puts, removed = call['puts'], call['remove']
        changed_keys = [row['key'] for row in puts] + removed
        if any(key.startswith(_READ_ONLY_PREFIXES) for key in changed_keys):
            return _json_response({}, 403)
        expected = call['expected_revision']
        current = [self._revision_of(row['key']) for row in expected]
        if current != [row['revision'] for row in expected]:
            return _json_response({'items': []}, 412)
        if any(row.get('lease', 0) not in {0, *self.leases} for row in puts):
            return _json_response({}, 404)
        for row in puts:
            self._put(row['key'], row['value'], row.get('lease', 0))
        for key in removed:
            self.remove(key)
        return _json_response({'revision': self.revision})

    def _grant_lease(self, body: bytes) -> Response:
        ttl = msgspec.json.decode(body)['ttl_ms']
        lease = next(self.lease_ids)
        seconds = ttl / _MILLISECONDS_PER_SECOND
        self.leases[lease] = time.monotonic() + seconds, seconds
        return _json_response({'lease': lease, 'ttl_ms': ttl})

    def _renew_lease(self, lease: int) -> Response:
        if lease not in self.leases:
            return _json_response({}, 404)
        _, seconds = self.leases[lease]
        self.leases[lease] = time.monotonic() + seconds, seconds
        return _json_response(
            {'ttl_ms': int(seconds * _MILLISECONDS_PER_SECOND)}
        )

    def _revoke_lease(self, lease: int) -> Response:
        if self.leases.pop(lease, None) is None:
            return _json_response({}, 404)
        self._remove_leased(lease)
        return _json_response({})

    def _expire_leases(self) -> None:
        now = time.monotonic()
        expired = [
            key
            for key, (expires_at, _) in self.leases.items()
            if expires_at < now
        ]
        for lease in expired:
            self.leases.pop(lease)
            self._remove_leased(lease)

    def _remove_leased(self, lease: int) -> None:
        for key, stored in list(self.keys.items()):
            if stored.lease == lease:
                self.remove(key)

    def _put(self, key: str, value: str, lease: int) -> int:
        self.revision += 1
        previous = self.keys.get(key)
        created_revision = (
            previous.created_revision if previous else self.revision
        )
        self.keys[key] = _StoredValue(
            value, self.revision, created_revision, lease
        )
        return self.revision

    def _revision_of(self, key: str) -> int:
        stored = self.keys.get(key)
        return stored.revision if stored else 0

    def _item_document(self, key: str) -> dict[str, Any]:
        stored = self.keys[key]
        return {
            'key': key,
            'value': stored.value,
            'revision': stored.revision,
            'created_rev': stored.created_revision,
            'lease': stored.lease,
        }


def _client_host(exchange: CallerExchange) -> str:
    transport = exchange.connection.transport
    assert transport is not None
    return str(transport.get_extra_info('peername')[0])


def _json_response(body: dict[str, Any], status: int = 200) -> Response:
    fields = [(b'Content-Type', b'application/json')]
    return Response(status, b'', fields, msgspec.json.encode(body))


async def _never_reply() -> Response:
    await asyncio.Event().wait()
    raise AssertionError('nothing ends the silence')


async def _reset_call(exchange: CallerExchange) -> Response:
    transport = exchange.connection.transport
    assert transport is not None
    reset_connection(transport)
    return await _never_reply()
