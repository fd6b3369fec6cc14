"""
Segments: the rows of a bucket as one immutable value.

The hash of its name assigns a row to a bucket, so that a change rewrites only
the buckets that it touches. A segment is compressed JSON, identified by a
digest.
"""

__all__ = (
    'BUCKET_COUNT',
    'MAX_VALUE_BYTES',
    'bucket_of',
    'decode_segment',
    'digest_of',
    'encode_segment',
    'pack',
    'split_tables',
    'unpack',
)

import base64
import hashlib
import zlib
from collections.abc import Mapping

import xxhash

from zinniaturn.configuration.exceptions import (
    ChangeTooLargeError,
    StoredStateError,
)
from zinniaturn.tables import TablesError, decode_tables, encode_tables
from zinniaturn.tables.domain import Pool, Route, Tables

BUCKET_COUNT = 64
MAX_VALUE_BYTES = 1_000_000

_COMPRESSION_LEVEL = 6
_SEGMENT_DIGEST_CHARS = 24
_MAX_UNPACKED_BYTES = 64_000_000


def bucket_of(name: str, buckets: int = BUCKET_COUNT) -> str:
    """
    Return the bucket of a row's name.

    >>> bucket_of('card') == bucket_of('card')
    True
    """
    return str(xxhash.xxh64_intdigest(name.encode()) % buckets)


def split_tables(
    tables: Tables,
    buckets: int = BUCKET_COUNT,
) -> Mapping[str, Tables]:
    """Return the rows by bucket; empty buckets are omitted."""
    routes: dict[str, dict[str, Route]] = {}
    pools: dict[str, dict[str, Pool]] = {}
    for route in tables.routes.values():
        bucket = bucket_of(route.name, buckets)
        routes.setdefault(bucket, {})[route.name] = route
    for pool in tables.pools.values():
        bucket = bucket_of(pool.name, buckets)
        pools.setdefault(bucket, {})[pool.name] = pool
    return {
        bucket: Tables(0, routes.get(bucket, {}), pools.get(bucket, {}))
        for bucket in routes.keys() | pools.keys()
    }


def encode_segment(rows: Tables) -> str:
    """Return a bucket's rows as compressed text."""
    return pack(encode_tables(rows))


def decode_segment(text: str, digest: str) -> Tables:
    """Return a segment's rows; raises `StoredStateError` if damaged."""
    if digest_of(text) != digest:
        raise StoredStateError(f'a segment does not have the digest {digest}')
    try:
        return decode_tables(unpack(text))
    except TablesError as error:
        raise StoredStateError(error.message) from error


def digest_of(text: str) -> str:
    """Return the digest of a segment's text."""
    return hashlib.sha256(
        text.encode('utf-8', 'surrogatepass'),
    ).hexdigest()[:_SEGMENT_DIGEST_CHARS]


def pack(text: str) -> str:
    """
    Return text compressed and encoded in Base64.

    Raises `ChangeTooLargeError` if the result is over 1 MB.
    """
    packed = base64.b64encode(
        zlib.compress(text.encode(), _COMPRESSION_LEVEL)
    ).decode()
    if len(packed) > MAX_VALUE_BYTES:
        raise ChangeTooLargeError(
            f'{len(packed)} bytes in one value; split the change',
        )
    return packed


def unpack(text: str) -> str:
    """Return the text that `pack` was given; raises `StoredStateError`."""
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(
            base64.b64decode(text, validate=True),
            _MAX_UNPACKED_BYTES,
        )
        return raw.decode()
    except (ValueError, zlib.error) as error:
        raise StoredStateError(f'a value is damaged: {error}') from error
