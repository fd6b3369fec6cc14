"""
Cost of at-most-once execution with issued keys, own keys and no key.

The three kinds of requests are sent in turn through one entry, so that their
latencies are comparable within one run.
"""

__all__ = ('run_keys',)

import asyncio
import random
import statistics
import sys
import time
import tracemalloc
import uuid
from collections import Counter

import msgspec

from zinniaturn.caller import Caller
from zinniaturn.caller.client import Address
from zinniaturn.clock import SystemClock
from zinniaturn.configuration import (
    apply_pools,
    apply_routes,
    commit,
    read_tables,
)
from zinniaturn.entry import Entry
from zinniaturn.experiments.outcomes.servers import TokenServer
from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.idempotency import KeyIssuer, KeyState, KeyTable, StoredResponse
from zinniaturn.idempotency.records import KeyLimits
from zinniaturn.settings import EntrySettings
from zinniaturn.standins import StoreStandIn
from zinniaturn.store import HttpStore
from zinniaturn.tables import Pool, Route, Server

_RECORDS = 50_000
_RESPONSE_BYTES = 200
_REQUESTS = 1500
_WARMUP_REQUESTS = 200
_MICROSECONDS_PER_SECOND = 1_000_000
_PERCENTILES = 100
_POLL_INTERVAL_SECONDS = 0.01


class KeyKindCost(msgspec.Struct):
    """Latency in microseconds and store writes per request of one key kind."""

    median_us: float
    p99_us: float
    store_writes: float


class KeyCosts(msgspec.Struct):
    """Cost of a key in time (microseconds) and memory (bytes)."""

    issue_us: float
    read_us: float
    begin_and_settle_us: float
    record_bytes: float
    ways: dict[str, KeyKindCost]


def run_keys(options: ExperimentOptions) -> int:
    """Measure, print one JSON line and return the exit status."""
    costs = _measure_keys()
    costs.ways = asyncio.run(_measure_key_kinds(options.seed))
    text = msgspec.json.encode(costs).decode()
    (options.out / 'keys.json').write_text(text)
    sys.stdout.write(f'{text}\n')
    return 0


def _measure_keys() -> KeyCosts:
    clock = SystemClock()
    issuer = KeyIssuer(b'secret', clock)
    started_at = time.perf_counter()
    keys = [issuer.issue('10.0.0.1', 8080) for _ in range(_RECORDS)]
    issued_at = time.perf_counter()
    for key in keys:
        issuer.read(key)
    read_at = time.perf_counter()
    tracemalloc.start()
    table = KeyTable(KeyLimits(600, _RECORDS, _RECORDS * 1000), clock)
    memory_before = tracemalloc.get_traced_memory()[0]
    _fill(table, keys)
    grown_bytes = tracemalloc.get_traced_memory()[0] - memory_before
    tracemalloc.stop()
    table = KeyTable(KeyLimits(600, _RECORDS, _RECORDS * 1000), clock)
    fill_started_at = time.perf_counter()
    _fill(table, keys)
    filled_at = time.perf_counter()
    return KeyCosts(
        issue_us=_microseconds_per_record(started_at, issued_at),
        read_us=_microseconds_per_record(issued_at, read_at),
        begin_and_settle_us=_microseconds_per_record(
            fill_started_at, filled_at
        ),
        record_bytes=round(grown_bytes / _RECORDS, 1),
        ways={},
    )


def _fill(table: KeyTable, keys: list[str]) -> None:
    for key in keys:
        record = table.begin(key, bytes(bytearray(16)))
        headers = (('Content-Type', 'application/json'),)
        body = bytes(bytearray(_RESPONSE_BYTES))
        response = StoredResponse(200, 'OK', headers, body)
        table.settle(record, KeyState.ANSWERED, response)


def _microseconds_per_record(started_at: float, ended_at: float) -> float:
    return round(
        (ended_at - started_at) / _RECORDS * _MICROSECONDS_PER_SECOND, 2
    )


async def _measure_key_kinds(seed: int) -> dict[str, KeyKindCost]:
    store = StoreStandIn()
    server = TokenServer(Counter(), str(seed), median_seconds=0)
    await store.start()
    await server.start()
    await _commit_tables(store.url, server.port)
    entry = Entry(
        EntrySettings(
            name='entry-0',
            port=0,
            admin_port=0,
            store_url=store.url,
            address_lifetime_seconds=2,
            address_lag_seconds=0,
        ),
    )
    await entry.start()
    while not entry.state.installed.tables.revision:
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)
    caller = Caller([('127.0.0.1', entry.port)], random.Random(seed))
    try:
        return await _run_key_kinds(caller, store)
    finally:
        await caller.close()
        await entry.stop()
        await server.stop()
        await store.stop()


async def _run_key_kinds(
    caller: Caller,
    store: StoreStandIn,
) -> dict[str, KeyKindCost]:
    address = await caller.choose_address()
    samples: dict[str, list[float]] = {key_kind: [] for key_kind in _KEY_KINDS}
    writes: Counter[str] = Counter()
    for number in range(_REQUESTS + _WARMUP_REQUESTS):
        for key_kind in _KEY_KINDS:
            headers = await _request_headers(caller, address, key_kind)
            writes_before = store.calls.writes
            elapsed = await _timed_post(caller, address, headers)
            if number >= _WARMUP_REQUESTS:
                samples[key_kind].append(elapsed * _MICROSECONDS_PER_SECOND)
                writes[key_kind] += store.calls.writes - writes_before
    return {
        name: _key_kind_cost(samples[name], writes[name]) for name in _KEY_KINDS
    }


async def _timed_post(
    caller: Caller,
    address: Address,
    headers: dict[str, str],
) -> float:
    started_at = time.perf_counter()
    response = await caller.send(address, 'POST', '/postings', headers, b'x')
    elapsed = time.perf_counter() - started_at
    assert not response.outcome, response
    return elapsed


async def _request_headers(
    caller: Caller, address: Address, key_kind: str
) -> dict[str, str]:
    headers = {'X-Request-Id': uuid.uuid4().hex}
    if key_kind == 'issued-key':
        headers['Idempotency-Key'] = await caller.take_key(address)
    elif key_kind == 'own-key':
        headers['Idempotency-Key'] = uuid.uuid4().hex
    return headers


def _key_kind_cost(samples: list[float], writes: int) -> KeyKindCost:
    percentiles = statistics.quantiles(samples, n=_PERCENTILES)
    return KeyKindCost(
        median_us=round(statistics.median(samples), 1),
        p99_us=round(percentiles[-1], 1),
        store_writes=round(writes / len(samples), 3),
    )


async def _commit_tables(url: str, port: int) -> None:
    store = HttpStore(url)
    base = await read_tables(store)
    pool = Pool('ledger', (Server('ledger-0', '127.0.0.1', port, 64),))
    route = Route('postings', 'ledger')
    tables = apply_routes(apply_pools(base.tables, [pool]), [route])
    await commit(store, base, tables)
    await store.close()


_KEY_KINDS = ('no-key', 'issued-key', 'own-key')
