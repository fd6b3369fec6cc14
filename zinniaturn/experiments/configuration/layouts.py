"""
Comparison of store layouts by bytes, calls and times.

The layouts hold generated tables of two sizes; a change replaces one pool.
"""

__all__ = ('run_layouts',)

import asyncio
import random
import time
import tracemalloc
from dataclasses import dataclass, replace

import click
import msgspec

from zinniaturn.configuration.commit import commit, read_tables
from zinniaturn.configuration.edits import apply_pools
from zinniaturn.configuration.head import (
    ChainStep,
    Head,
    SegmentRef,
    encode_head,
)
from zinniaturn.configuration.planning import KEY_PREFIX, MAX_HEAD_STEPS
from zinniaturn.configuration.segments import (
    decode_segment,
    digest_of,
    encode_segment,
    split_tables,
)
from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.standins import StoreStandIn
from zinniaturn.store import HttpStore
from zinniaturn.tables import decode_tables, encode_tables
from zinniaturn.tables.domain import Pool, Route, Server, Tables

BUCKET_COUNTS = (16, 64, 256)
SIZES = ((8, 66), (1800, 26_000))

_MILLISECONDS_PER_SECOND = 1000
_BYTES_PER_MB = 1_000_000
_COMMIT_COUNT = 20


@dataclass(frozen=True, slots=True)
class _Layout:
    name: str
    texts: list[str]
    head_bytes: int = 0


class LayoutReport(msgspec.Struct):
    """
    Figures of a layout at one size of the tables.

    ``change_bytes`` is what the writer writes and a watcher reads for a change
    of an average row, ``start_reads`` and ``start_bytes`` what an entry reads
    at its start, and ``decode_ms`` the time to decode all rows.
    """

    services: int
    upstreams: int
    layout: str
    largest_value: int
    change_bytes: int
    start_reads: int
    start_bytes: int
    decode_ms: float


class StoreReport(msgspec.Struct):
    """Figures of the layout in use with the store stand-in over HTTP."""

    services: int
    upstreams: int
    head_bytes: int
    start_ms: float
    commit_ms: float
    reads_per_commit: float
    writes_per_commit: float
    tables_mb: float


def run_layouts(options: ExperimentOptions) -> int:
    """Print and write a report for each layout and size."""
    reports: list[msgspec.Struct] = []
    for services, upstreams in SIZES:
        tables = make_tables(services, upstreams, random.Random(options.seed))
        reports.extend(_report_layouts(tables, services, upstreams))
        reports.append(
            asyncio.run(_measure_with_store(tables, services, upstreams))
        )
    for report in reports:
        click.echo(msgspec.json.encode(report).decode())
    path = options.out / 'configuration-layouts.json'
    path.write_bytes(msgspec.json.encode(reports))
    return 0


def make_tables(
    services: int,
    upstreams: int,
    random_source: random.Random,
) -> Tables:
    """Return tables with a route and a pool for each service."""
    counts = [upstreams // services for _ in range(services)]
    counts[0] += upstreams - sum(counts)
    pools = [
        Pool(f'service-{number}', _servers(number, count, random_source))
        for number, count in enumerate(counts)
    ]
    routes = [
        Route(
            f'service-{number}-default',
            f'service-{number}',
            path_prefix=f'/service-{number}',
        )
        for number in range(services)
    ]
    return Tables(
        1,
        {route.name: route for route in routes},
        {pool.name: pool for pool in pools},
    )


def _servers(
    service: int,
    count: int,
    random_source: random.Random,
) -> tuple[Server, ...]:
    return tuple(
        Server(
            f'service-{service}-{number}',
            f'10.{service % 256}.{random_source.randrange(256)}.{number % 256}',
            random_source.randrange(8000, 9000),
            random_source.choice((3, 4)),
            f'dc-{random_source.randrange(31)}',
        )
        for number in range(count)
    )


def _report_layouts(
    tables: Tables,
    services: int,
    upstreams: int,
) -> list[LayoutReport]:
    layouts = [
        _Layout('one value', [encode_tables(tables)]),
        _Layout('one value, packed', [encode_segment(tables)]),
        _Layout('a key a row', [encode_tables(row) for row in _rows(tables)]),
    ]
    for bucket_count in BUCKET_COUNTS:
        parts = split_tables(tables, bucket_count)
        texts = [encode_segment(part) for part in parts.values()]
        head = len(encode_head(_make_head(texts)))
        layouts.append(_Layout(f'{bucket_count} buckets, packed', texts, head))
    return [_build_report(layout, services, upstreams) for layout in layouts]


def _rows(tables: Tables) -> list[Tables]:
    routes = [Tables(0, {name: row}) for name, row in tables.routes.items()]
    pools = [Tables(0, {}, {name: row}) for name, row in tables.pools.items()]
    return [*routes, *pools]


def _make_head(texts: list[str]) -> Head:
    digit = '0'
    steps = [ChainStep(digit * 16, digit * 16) for _ in range(MAX_HEAD_STEPS)]
    refs = {
        str(number): SegmentRef(
            f'{KEY_PREFIX}/segments/{number}-100000-{digit * 16}-0',
            1_000_000,
            digest_of(text),
        )
        for number, text in enumerate(texts)
    }
    return Head(MAX_HEAD_STEPS, tuple(steps), refs)


def _build_report(
    layout: _Layout,
    services: int,
    upstreams: int,
) -> LayoutReport:
    sizes = [len(text) for text in layout.texts]
    changed_bytes = sum(sizes) // len(sizes) + layout.head_bytes
    return LayoutReport(
        services=services,
        upstreams=upstreams,
        layout=layout.name,
        largest_value=max(*sizes, layout.head_bytes),
        change_bytes=changed_bytes,
        start_reads=len(sizes) + bool(layout.head_bytes),
        start_bytes=sum(sizes) + layout.head_bytes,
        decode_ms=_decode_ms(layout.texts),
    )


def _decode_ms(texts: list[str]) -> float:
    started_at = time.perf_counter()
    for text in texts:
        if text.startswith('{'):
            decode_tables(text)
        else:
            decode_segment(text, digest_of(text))
    return round(
        (time.perf_counter() - started_at) * _MILLISECONDS_PER_SECOND, 1
    )


async def _measure_with_store(
    tables: Tables,
    services: int,
    upstreams: int,
) -> StoreReport:
    stand_in = StoreStandIn()
    await stand_in.start()
    store = HttpStore(stand_in.url)
    try:
        await commit(
            store, await read_tables(store), replace(tables, revision=0)
        )
        before = replace(stand_in.calls)
        commit_ms = await _measure_commits(store)
        calls = stand_in.calls
        reads = (calls.reads - before.reads) / _COMMIT_COUNT
        writes = (calls.writes - before.writes) / _COMMIT_COUNT
        start_ms, head_bytes, tables_mb = await _measure_start(store)
    finally:
        await store.close()
        await stand_in.stop()
    return StoreReport(
        services=services,
        upstreams=upstreams,
        head_bytes=head_bytes,
        start_ms=start_ms,
        commit_ms=commit_ms,
        reads_per_commit=reads,
        writes_per_commit=writes,
        tables_mb=tables_mb,
    )


async def _measure_commits(store: HttpStore) -> float:
    total_seconds: float = 0
    for number in range(_COMMIT_COUNT):
        base = await read_tables(store)
        pool = next(iter(base.tables.pools.values()))
        edited = apply_pools(
            base.tables,
            [replace(pool, queue_limit=1000 + number)],
        )
        started_at = time.perf_counter()
        await commit(store, base, edited)
        total_seconds += time.perf_counter() - started_at
    return round(total_seconds / _COMMIT_COUNT * _MILLISECONDS_PER_SECOND, 1)


async def _measure_start(store: HttpStore) -> tuple[float, int, float]:
    started_at = time.perf_counter()
    await read_tables(store)
    start_ms = round(
        (time.perf_counter() - started_at) * _MILLISECONDS_PER_SECOND, 1
    )
    tracemalloc.start()
    stored = await read_tables(store)
    tables_mb = tracemalloc.get_traced_memory()[0] / _BYTES_PER_MB
    tracemalloc.stop()
    head_bytes = len(encode_head(stored.snapshot.head))
    return start_ms, head_bytes, round(tables_mb, 1)
