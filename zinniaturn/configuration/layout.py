"""
The store's layout: the head, the segments, the records and the intents.

Only the head is ever changed with a meaning; segments and records are created
once. An intent names the keys that a commit is about to create, so that those
of a commit that never came to its end can be removed later.
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
_READS_AT_ONCE = 16
_LOAD_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A head with the store's version of its key; 0 where there is none."""

    head: Head
    version: int


@dataclass(frozen=True, slots=True)
class Intent:
    """The keys that a commit of ``revision`` creates."""

    revision: int
    change_id: str
    keys: tuple[str, ...]


async def read_head(store: ConfigurationStore) -> StoredHead:
    """Return the stored head; raises `StoredStateError` or store errors."""
    return decode_stored_head(await store.read(HEAD_KEY))


def decode_stored_head(entry: VersionedValue) -> StoredHead:
    """Return the head in the head's key."""
    if not entry.version:
        return StoredHead(Head(), 0)
    return StoredHead(decode_head(entry.value), entry.version)


async def load_snapshot(
    store: ConfigurationStore,
    known: Snapshot = EMPTY_SNAPSHOT,
) -> tuple[Snapshot, int]:
    """
    Return the stored snapshot and the version of the head.

    Only segments that ``known`` does not have are read. A segment may go
    while a slow reader still wants it; then the head is read again.
    """
    for _ in range(_LOAD_ATTEMPTS):
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
    """Return by bucket the missing segments that the store has."""
    limit = asyncio.Semaphore(_READS_AT_ONCE)

    async def read(key: str) -> VersionedValue:
        async with limit:
            return await store.read(key)

    missing = missing_segments(head, known)
    entries = await asyncio.gather(*(read(ref.key) for ref in missing.values()))
    return {
        bucket: entry.value
        for bucket, entry in zip(missing, entries, strict=True)
        if entry.version
    }


async def create_keys(
    store: ConfigurationStore,
    writes: Iterable[Write],
) -> Mapping[str, int]:
    """
    Create keys and return their versions.

    A key that has the same text already counts as created. Raises
    `CommitConflictError` where the text differs.
    """
    return {write.key: await _create(store, write) for write in writes}


async def delete_keys(
    store: ConfigurationStore,
    garbage: Iterable[RetiredSegment],
) -> None:
    """Remove keys at their known versions; gone ones are no error."""
    for old in garbage:
        with contextlib.suppress(StoreConflictError):
            await store.delete(old.key, old.version)


async def declare_intent(store: ConfigurationStore, plan: CommitPlan) -> None:
    """
    Name the keys of a plan before they are created.

    Removes what earlier commits in the same slot left behind. A slot that
    another operator takes at the same moment is tried again.
    """
    slot = xxhash.xxh64_intdigest(plan.change_id.encode()) % _INTENT_SLOTS
    key = f'{KEY_PREFIX}/intents/{slot}'
    head = plan.base.head
    intent = Intent(
        plan.revision,
        plan.change_id,
        tuple(write.key for write in plan.writes()),
    )
    for _ in range(_LOAD_ATTEMPTS):
        entry = await store.read(key)
        intents = _decode_intents(entry)
        done = [old for old in intents if old.revision <= head.revision]
        for stale in stale_keys(head, done):
            await _remove(store, stale)
        kept = [old for old in intents if old not in done]
        try:
            await store.compare_and_swap(
                key,
                entry.version,
                msgspec.json.encode([*kept, intent]).decode(),
            )
        except StoreConflictError:
            continue
        return
    raise CommitConflictError('other operators keep writing their intents')


def stale_keys(head: Head, intents: Iterable[Intent]) -> frozenset[str]:
    """
    Return the keys of ended commits that nothing refers to.

    A commit whose revision the head has reached can never be accepted any
    more, unless it was accepted then.
    """
    used = {ref.key for ref in head.segments.values()}
    used.update(old.key for old in head.retired)
    stale: set[str] = set()
    for intent in intents:
        if intent.revision > head.revision:
            continue
        stale.update(intent.keys)
        if _may_be_accepted(head, intent):
            used.add(record_key(intent.revision, intent.change_id))
    return frozenset(stale - used)


def _may_be_accepted(head: Head, intent: Intent) -> bool:
    if intent.revision < head.first_revision:
        return True
    return head.revision_of(intent.change_id) == intent.revision


def _decode_intents(entry: VersionedValue) -> tuple[Intent, ...]:
    if not entry.version:
        return ()
    try:
        return msgspec.json.decode(entry.value, type=tuple[Intent, ...])
    except msgspec.DecodeError as error:
        raise StoredStateError(f'the intents are invalid: {error}') from error


async def _create(store: ConfigurationStore, write: Write) -> int:
    try:
        return await store.compare_and_swap(write.key, 0, write.text)
    except StoreConflictError as error:
        entry = await store.read(write.key)
        if entry.value != write.text:
            raise CommitConflictError(f'{write.key} exists') from error
        return entry.version


async def _remove(store: ConfigurationStore, key: str) -> None:
    entry = await store.read(key)
    if entry.version:
        await delete_keys(store, [RetiredSegment(key, entry.version, 0)])
