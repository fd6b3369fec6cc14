"""A stand-in of the platform's store."""

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
from zinniaturn.platform.standins.resets import reset

_PAGE_ITEMS = 500
_RANGE_PATH = '/kv-range'
_MILLISECONDS = 1000
_PROTECTED = ('op/', 'servers/')
_FAULT_STATUSES = MappingProxyType(
    {StoreFault.BUSY: 503, StoreFault.TOO_MANY: 429},
)


@dataclass(slots=True)
class _Stored:
    value: str
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class StoreStandIn(LoopbackService):
    """
    Keys, leases and revisions on a loopback address.

    ``faults`` holds what befalls the calls of a host, or of all under ``''``.
    ``calls`` counts what was asked for, by path, and ``reads_by_host`` the
    ranges that were read.
    """

    keys: dict[str, _Stored] = field(default_factory=dict)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    revision: int = 1
    faults: dict[str, StoreFault] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)
    page_items: int = _PAGE_ITEMS
    reads_by_host: Counter[str] = field(default_factory=Counter)
    numbers: 'itertools.count[int]' = field(
        default_factory=lambda: itertools.count(1),
    )

    def write(self, key: str, document: Any, lease: int = 0) -> int:
        """Write a document as an operator or a server does."""
        raw = document
        if not isinstance(document, bytes):
            raw = msgspec.json.encode(document)
        return self._put(key, base64.b64encode(raw).decode(), lease)

    def remove(self, key: str) -> None:
        """Remove a key as a server does that leaves."""
        if self.keys.pop(key, None) is not None:
            self.revision += 1

    def handle(self, exchange: CallerExchange) -> Reply:
        """Serve a call, or what a fault makes of it."""
        path, _, query = exchange.request.target.decode().partition('?')
        self.calls[path] = self.calls.get(path, 0) + 1
        self._expire()
        host = _host_of(exchange)
        self.reads_by_host[host] += path == _RANGE_PATH
        fault = self._fault_of(host)
        status = _FAULT_STATUSES.get(fault) if fault else None
        if status is not None:
            return Response(status, b'', [])
        if fault is StoreFault.RESET:
            return _reset(exchange)
        if fault is StoreFault.SILENT:
            return _silence()
        reply = self._serve(exchange, path, parse_qs(query))
        if fault is StoreFault.LOST:
            return _silence()
        return reply

    def _fault_of(self, host: str) -> StoreFault | None:
        return self.faults.get('', self.faults.get(host))

    def _serve(
        self,
        exchange: CallerExchange,
        path: str,
        query: dict[str, list[str]],
    ) -> Response:
        name, _, number = path.lstrip('/').partition('/')
        body = exchange.request.body
        routes: dict[tuple[bytes, str], Callable[[], Response]] = {
            (b'GET', 'kv-key'): lambda: self._read(query),
            (b'GET', 'kv-range'): lambda: self._range(query),
            (b'POST', 'kv-txn'): lambda: self._transact(body),
            (b'POST', 'kv-lease'): lambda: self._grant(body),
            (b'POST', 'kv-keep'): lambda: self._keep(int(number)),
            (b'DELETE', 'kv-lease-end'): lambda: self._end(int(number)),
        }
        serve = routes.get((exchange.request.method, name))
        return serve() if serve else Response(404, b'', [])

    def _read(self, query: dict[str, list[str]]) -> Response:
        key = query['key'][0]
        if key not in self.keys:
            return _reply({'current_rev': self.revision}, 404)
        return _reply({**self._item(key), 'current_rev': self.revision})

    def _range(self, query: dict[str, list[str]]) -> Response:
        prefix = query.get('prefix', [''])[0]
        after = query.get('after', [''])[0]
        names = sorted(
            key for key in self.keys if key.startswith(prefix) and key > after
        )
        page = names[: self.page_items]
        return _reply(
            {
                'items': [self._item(key) for key in page],
                'more_pages': len(names) > len(page),
                'current_rev': self.revision,
            },
        )

    def _transact(self, body: bytes) -> Response:
        call = msgspec.json.decode(body)
        puts, removed = call['puts'], call['remove']
        touched = [row['key'] for row in puts] + removed
        if any(key.startswith(_PROTECTED) for key in touched):
            return _reply({}, 403)
        expected = call['expected_revision']
        current = [self._revision_of(row['key']) for row in expected]
        if current != [row['revision'] for row in expected]:
            return _reply({'items': []}, 412)
        if any(row.get('lease', 0) not in {0, *self.leases} for row in puts):
            return _reply({}, 404)
        for row in puts:
            self._put(row['key'], row['value'], row.get('lease', 0))
        for key in removed:
            self.remove(key)
        return _reply({'revision': self.revision})

    def _grant(self, body: bytes) -> Response:
        ttl = msgspec.json.decode(body)['ttl_ms']
        lease = next(self.numbers)
        seconds = ttl / _MILLISECONDS
        self.leases[lease] = time.monotonic() + seconds, seconds
        return _reply({'lease': lease, 'ttl_ms': ttl})

    def _keep(self, lease: int) -> Response:
        if lease not in self.leases:
            return _reply({}, 404)
        _, seconds = self.leases[lease]
        self.leases[lease] = time.monotonic() + seconds, seconds
        return _reply({'ttl_ms': int(seconds * _MILLISECONDS)})

    def _end(self, lease: int) -> Response:
        if self.leases.pop(lease, None) is None:
            return _reply({}, 404)
        self._remove_leased(lease)
        return _reply({})

    def _expire(self) -> None:
        now = time.monotonic()
        ended = [key for key, (until, _) in self.leases.items() if until < now]
        for lease in ended:
            self.leases.pop(lease)
            self._remove_leased(lease)

    def _remove_leased(self, lease: int) -> None:
        for key, stored in list(self.keys.items()):
            if stored.lease == lease:
                self.remove(key)

    def _put(self, key: str, value: str, lease: int) -> int:
        self.revision += 1
        former = self.keys.get(key)
        created = former.created if former else self.revision
        self.keys[key] = _Stored(value, self.revision, created, lease)
        return self.revision

    def _revision_of(self, key: str) -> int:
        stored = self.keys.get(key)
        return stored.revision if stored else 0

    def _item(self, key: str) -> dict[str, Any]:
        stored = self.keys[key]
        return {
            'key': key,
            'value': stored.value,
            'revision': stored.revision,
            'created_rev': stored.created,
            'lease': stored.lease,
        }


def _host_of(exchange: CallerExchange) -> str:
    transport = exchange.connection.transport
    assert transport is not None
    return str(transport.get_extra_info('peername')[0])


def _reply(body: dict[str, Any], status: int = 200) -> Response:
    fields = [(b'Content-Type', b'application/json')]
    return Response(status, b'', fields, msgspec.json.encode(body))


async def _silence() -> Response:
    await asyncio.Event().wait()
    raise AssertionError('nothing ends the silence')


async def _reset(exchange: CallerExchange) -> Response:
    transport = exchange.connection.transport
    assert transport is not None
    reset(transport)
    return await _silence()
