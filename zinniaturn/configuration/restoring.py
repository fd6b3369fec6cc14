"""
Restores the tables from an entry's memory after the store has lost revisions.

Changes that the store accepted on top of its older state are kept: they are
applied again on top of the entry's tables, under the same change ids.
"""

__all__ = ('RestorePlan', 'common_revision', 'plan_restore', 'restore')

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from zinniaturn.configuration.changes import apply_change, diff_tables
from zinniaturn.configuration.exceptions import (
    CommitConflictError,
    OverlapError,
    StoredStateError,
)
from zinniaturn.configuration.head import (
    ChainStep,
    Head,
    RetiredSegment,
    SegmentRef,
    encode_head,
    extend_chain,
)
from zinniaturn.configuration.layout import (
    HEAD_KEY,
    StoredHead,
    create_keys,
    read_head,
)
from zinniaturn.configuration.planning import (
    KEY_PREFIX,
    MAX_MERGED_HISTORIES,
    Authorship,
    Write,
    record_key,
)
from zinniaturn.configuration.records import (
    AuditRecord,
    ChangeKind,
    decode_record,
    encode_record,
)
from zinniaturn.configuration.segments import (
    digest_of,
    encode_segment,
    split_tables,
)
from zinniaturn.configuration.snapshot import Snapshot
from zinniaturn.store import ConfigurationStore, StoreConflictError
from zinniaturn.tables.domain import Tables


@dataclass(frozen=True, slots=True)
class RestorePlan:
    """
    The writes of a restore, and the tables after it.

    ``left_out`` are changes that overlap with the entry's tables; they are
    dropped because the operator chose to prefer the entries.
    """

    tables: Tables
    steps: tuple[ChainStep, ...]
    segments: dict[str, Write]
    records: tuple[Write, ...]
    left_out: tuple[AuditRecord, ...]


async def restore(
    store: ConfigurationStore,
    held: Snapshot,
    authorship: Authorship,
    change_id: str,
    prefers_entries: bool = False,
) -> RestorePlan:
    """
    Restore an entry's tables and reapply what the store has accepted since.

    Raises `OverlapError` if both changed the same row, unless
    ``prefers_entries``; `CommitConflictError` if the head has changed meanwhile
    or nothing was lost; and the store's errors.
    """
    stored = await read_head(store)
    since = await _records_since(store, held.head, stored.head)
    plan = plan_restore(held, since, authorship, change_id, prefers_entries)
    versions = await create_keys(
        store,
        (*plan.segments.values(), *plan.records),
    )
    head = _build_head(plan, held.head, stored, versions)
    try:
        await store.compare_and_swap(
            HEAD_KEY,
            stored.version,
            encode_head(head),
        )
    except StoreConflictError as error:
        raise CommitConflictError(
            'the head changed meanwhile; try again'
        ) from error
    return plan


def common_revision(first: Head, second: Head) -> int:
    """
    Return the last revision that two histories share, or 0 for none.

    >>> common_revision(Head(), Head())
    0
    """
    newest = min(first.revision, second.revision)
    oldest = max(first.first_revision, second.first_revision)
    for revision in range(newest, oldest - 1, -1):
        if first.chain_at(revision) == second.chain_at(revision):
            return revision
    return 0


def plan_restore(
    held: Snapshot,
    since: Iterable[AuditRecord],
    authorship: Authorship,
    change_id: str,
    prefers_entries: bool,
) -> RestorePlan:
    """
    Return the plan that applies the changes ``since`` on top of ``held``.

    Raises `OverlapError` if one overlaps, unless ``prefers_entries``.
    """
    tables = held.tables
    steps = list(held.head.steps)
    records = []
    left_out = []
    for earlier in since:
        try:
            tables = apply_change(earlier.change, tables)
        except OverlapError:
            if not prefers_entries:
                raise
            left_out.append(earlier)
            continue
        tables = replace(tables, revision=tables.revision + 1)
        steps.append(_next_step(steps, earlier.change_id))
        records.append(replace(earlier, revision=tables.revision))
    # The last step is that of the restore itself, which changes no row.
    tables = replace(tables, revision=tables.revision + 1)
    steps.append(_next_step(steps, change_id))
    records.append(
        AuditRecord(
            change_id=change_id,
            base_revision=held.head.revision,
            revision=tables.revision,
            kind=ChangeKind.RESTORE,
            author=authorship.author,
            reason=authorship.reason,
            at=authorship.at,
            change=diff_tables(tables, tables),
        ),
    )
    return RestorePlan(
        tables,
        tuple(steps),
        _segment_writes(tables, change_id),
        tuple(_record_write(record) for record in records),
        tuple(left_out),
    )


async def _records_since(
    store: ConfigurationStore,
    held: Head,
    stored: Head,
) -> tuple[AuditRecord, ...]:
    common = common_revision(held, stored)
    if held.revision and common == held.revision:
        raise CommitConflictError(
            f'the store has all up to revision {held.revision}; nothing is '
            'lost',
        )
    found = []
    for revision in range(common + 1, stored.revision + 1):
        index = revision - stored.first_revision
        if index < 0:
            raise StoredStateError(
                'the histories diverged before the oldest step in the head'
            )
        change_id = stored.steps[index].change_id
        stored_value = await store.read(record_key(revision, change_id))
        if not stored_value.version:
            raise StoredStateError(f'the record of {revision} is missing')
        found.append(decode_record(stored_value.value))
    return tuple(found)


def _build_head(
    plan: RestorePlan,
    held: Head,
    stored: StoredHead,
    versions: Mapping[str, int],
) -> Head:
    refs = {
        bucket: SegmentRef(
            write.key,
            versions[write.key],
            digest_of(write.text),
        )
        for bucket, write in plan.segments.items()
    }
    revision = plan.tables.revision
    merged = (*held.merged, stored.head.position)
    retired = [
        RetiredSegment(ref.key, ref.version, revision)
        for ref in stored.head.segments.values()
    ]
    return Head(
        revision=revision,
        steps=plan.steps,
        segments=refs,
        retired=(*stored.head.retired, *retired),
        merged=merged[-MAX_MERGED_HISTORIES:],
    )


def _next_step(steps: list[ChainStep], change_id: str) -> ChainStep:
    before = steps[-1].chain if steps else ''
    return ChainStep(change_id, extend_chain(before, change_id, ()))


def _segment_writes(tables: Tables, change_id: str) -> dict[str, Write]:
    suffix = f'{tables.revision}-{change_id}-restore'
    return {
        bucket: Write(
            f'{KEY_PREFIX}/segments/{bucket}-{suffix}',
            encode_segment(rows),
        )
        for bucket, rows in split_tables(tables).items()
    }


def _record_write(record: AuditRecord) -> Write:
    key = record_key(record.revision, record.change_id)
    return Write(key, encode_record(record))
