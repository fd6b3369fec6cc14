"""
Keys in the store: the head, the segments, the audit records and the intents.

Of these only a change of the head affects the tables; segments and records are
created once and never modified. An intent lists the keys that a commit is about
to create, so that the keys of an abandoned commit can be deleted later.
"""

__all__ = (
    'HEAD_KEY',
    'StoredHead',
    'create_keys',
    'declare_intent',
    'delete_keys',
    'load_snapshot',
    'read_head',
    'read_segment_texts',
    'stale_keys',
)

import asyncio
import contextlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
import xxhash

from zinniaturn.configuration.exceptions import (
    CommitConflictError,
    StoredStateError,
)
from zinniaturn.configuration.head import Head, RetiredSegment, decode_head
from zinniaturn.configuration.planning import (
    KEY_PREFIX,
    CommitPlan,
    Write,
    record_key,
)
from zinniaturn.configuration.snapshot import (
    EMPTY_SNAPSHOT,
    Snapshot,
    assemble_snapshot,
    missing_segments,
)
from zinniaturn.store import (
    ConfigurationStore,
    StoreConflictError,
    VersionedValue,
)

HEAD_KEY = f'{KEY_PREFIX}/head'

_INTENT_SLOTS = 8
_MAX_CONCURRENT_READS = 16
_MAX_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A head with the version of its key; version 0 means no stored head."""

    head: Head
    version: int


@dataclass(frozen=True, slots=True)
class Intent:
    """The keys that a commit of ``revision`` is going to create."""

    revision: int
    change_id: str
    keys: tuple[str, ...]


async def read_head(store: ConfigurationStore) -> StoredHead:
    """Return the stored head; raises `StoredStateError` or store errors."""
    return decode_stored_head(await store.read(HEAD_KEY))


def decode_stored_head(stored_value: VersionedValue) -> StoredHead:
    """Return the head in the value of `HEAD_KEY`; an empty one for no key."""
    if not stored_value.version:
        return StoredHead(Head(), 0)
    return StoredHead(decode_head(stored_value.value), stored_value.version)


async def load_snapshot(
    store: ConfigurationStore,
    known: Snapshot = EMPTY_SNAPSHOT,
) -> tuple[Snapshot, int]:
    """
    Return the stored snapshot and the version of the head.

    Only segments that ``known`` lacks are read. A segment may be deleted before
    a slow reader gets to it; then the head is read again.
    """
    for _ in range(_MAX_ATTEMPTS):
        stored = await read_head(store)
        texts = await read_segment_texts(store, stored.head, known)
        if len(texts) == len(missing_segments(stored.head, known)):
            return assemble_snapshot(stored.head, texts, known), stored.version
    raise StoredStateError('segments of the head are missing')


async def read_segment_texts(
    store: ConfigurationStore,
    head: Head,
    known: Snapshot,
) -> Mapping[str, str]:
    """
    Return the texts of the segments that ``known`` lacks, by bucket.

    Segments that the store no longer has are omitted.
    """
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_READS)

    async def read(key: str) -> VersionedValue:
        async with semaphore:
            return await store.read(key)

    missing = missing_segments(head, known)
    stored_values = await asyncio.gather(
        *(read(ref.key) for ref in missing.values())
    )
    return {
        bucket: stored_value.value
        for bucket, stored_value in zip(missing, stored_values, strict=True)
        if stored_value.version
    }


async def create_keys(
    store: ConfigurationStore,
    writes: Iterable[Write],
) -> Mapping[str, int]:
    """
    Create keys and return their versions.

    A key that already has the same text counts as created. Raises
    `CommitConflictError` if its text differs.
    """
    return {write.key: await _create_key(store, write) for write in writes}


async def delete_keys(
    store: ConfigurationStore,
    garbage: Iterable[RetiredSegment],
) -> None:
    """Delete keys at their known versions; skip those that have changed."""
    for segment in garbage:
        with contextlib.suppress(StoreConflictError):
            await store.delete(segment.key, segment.version)


async def declare_intent(store: ConfigurationStore, plan: CommitPlan) -> None:
    """
    Store the keys of a plan before they are created.

    Intents are spread over a fixed number of slots by a hash of the change id.
    The keys that abandoned commits of the same slot left behind are deleted.
    If another operator writes the slot at the same time, this is retried.
    """
    slot = xxhash.xxh64_intdigest(plan.change_id.encode()) % _INTENT_SLOTS
    key = f'{KEY_PREFIX}/intents/{slot}'
    head = plan.base.head
    intent = Intent(
        plan.revision,
        plan.change_id,
        tuple(write.key for write in plan.writes()),
    )
    for _ in range(_MAX_ATTEMPTS):
        stored_value = await store.read(key)
        intents = _decode_intents(stored_value)
        ended = [
            earlier for earlier in intents if earlier.revision <= head.revision
        ]
        for stale in stale_keys(head, ended):
            await _delete_key(store, stale)
        kept = [earlier for earlier in intents if earlier not in ended]
        try:
            await store.compare_and_swap(
                key,
                stored_value.version,
                msgspec.json.encode([*kept, intent]).decode(),
            )
        except StoreConflictError:
            continue
        return
    raise CommitConflictError(
        'other operators kept writing to the same intent slot',
    )


def stale_keys(head: Head, intents: Iterable[Intent]) -> frozenset[str]:
    """
    Return the keys of ended commits to which nothing refers.

    Once the head has reached the revision of a commit, the commit either was
    accepted as that revision or can never be accepted.
    """
    used = {ref.key for ref in head.segments.values()}
    used.update(segment.key for segment in head.retired)
    stale: set[str] = set()
    for intent in intents:
        if intent.revision > head.revision:
            continue
        stale.update(intent.keys)
        if _may_have_been_accepted(head, intent):
            used.add(record_key(intent.revision, intent.change_id))
    return frozenset(stale - used)


def _may_have_been_accepted(head: Head, intent: Intent) -> bool:
    if intent.revision < head.first_revision:
        return True
    return head.revision_of(intent.change_id) == intent.revision


def _decode_intents(stored_value: VersionedValue) -> tuple[Intent, ...]:
    if not stored_value.version:
        return ()
    try:
        return msgspec.json.decode(stored_value.value, type=tuple[Intent, ...])
    except msgspec.DecodeError as error:
        raise StoredStateError(f'the intents are invalid: {error}') from error


async def _create_key(store: ConfigurationStore, write: Write) -> int:
    try:
        return await store.compare_and_swap(write.key, 0, write.text)
    except StoreConflictError as error:
        stored_value = await store.read(write.key)
        if stored_value.value != write.text:
            raise CommitConflictError(
                f'{write.key} already exists with another value',
            ) from error
        return stored_value.version


async def _delete_key(store: ConfigurationStore, key: str) -> None:
    stored_value = await store.read(key)
    if stored_value.version:
        await delete_keys(store, [RetiredSegment(key, stored_value.version, 0)])
