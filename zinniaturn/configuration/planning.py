"""
Plans of commits, as pure functions.

A plan contains the values to write before the head, the next head, and the old
segments that may be deleted. The exhaustive model check tests these functions
too.
"""

__all__ = (
    'KEY_PREFIX',
    'MAX_HEAD_STEPS',
    'STEPS_PER_PAGE',
    'Authorship',
    'CommitPlan',
    'Write',
    'check_fence',
    'plan_commit',
    'record_key',
)

from collections.abc import Mapping
from dataclasses import dataclass, replace

from zinniaturn.configuration.changes import Change, apply_change
from zinniaturn.configuration.exceptions import StoreResetError
from zinniaturn.configuration.head import (
    ChainPosition,
    ChainStep,
    Head,
    RetiredSegment,
    SegmentRef,
    extend_chain,
)
from zinniaturn.configuration.records import (
    AuditRecord,
    ChangeKind,
    encode_record,
)
from zinniaturn.configuration.segments import (
    BUCKET_COUNT,
    bucket_of,
    digest_of,
    encode_segment,
    split_tables,
)
from zinniaturn.configuration.snapshot import Snapshot
from zinniaturn.tables.domain import Tables

KEY_PREFIX = 'zinniaturn'
MAX_HEAD_STEPS = 128
RETIRED_SEGMENT_REVISIONS = 32
STEPS_PER_PAGE = 64
MAX_MERGED_HISTORIES = 16


@dataclass(frozen=True, slots=True)
class Authorship:
    """Author, reason and kind of a change; ``at`` is in Unix time."""

    author: str
    reason: str
    at: float
    kind: ChangeKind = ChangeKind.EDIT


@dataclass(frozen=True, slots=True)
class Write:
    """A key and its value, to be created before the head is swapped."""

    key: str
    text: str


@dataclass(frozen=True, slots=True)
class CommitPlan:
    """
    The writes and deletions of a commit, and the tables after it.

    ``segments`` are the new segments by bucket and ``emptied`` the buckets
    left without rows. ``garbage`` are old segments that may be deleted whether
    or not the commit is accepted.
    """

    base: Snapshot
    change_id: str
    tables: Tables
    segments: Mapping[str, Write]
    emptied: frozenset[str]
    record: Write
    garbage: tuple[RetiredSegment, ...]
    merged: tuple[ChainPosition, ...] = ()

    @property
    def revision(self) -> int:
        """Return the revision that the commit makes."""
        return self.tables.revision

    def writes(self) -> tuple[Write, ...]:
        """Return all keys to create before the head is swapped."""
        return (*self.segments.values(), self.record)

    def head(self, versions: Mapping[str, int]) -> Head:
        """Return the next head, given the versions of the created keys."""
        before = self.base.head
        segments = {
            bucket: ref
            for bucket, ref in before.segments.items()
            if bucket not in self.emptied
        }
        for bucket, write in self.segments.items():
            segments[bucket] = SegmentRef(
                write.key,
                versions[write.key],
                digest_of(write.text),
            )
        return Head(
            revision=self.revision,
            steps=(*_steps_to_keep(before), self._step(segments)),
            segments=segments,
            retired=(*self._still_retired(), *self._newly_retired(segments)),
            merged=(*before.merged, *self.merged)[-MAX_MERGED_HISTORIES:],
        )

    def _step(self, segments: Mapping[str, SegmentRef]) -> ChainStep:
        digests = [ref.digest for ref in segments.values()]
        before = self.base.head.chain
        return ChainStep(
            self.change_id,
            extend_chain(before, self.change_id, digests),
        )

    def _still_retired(self) -> list[RetiredSegment]:
        removed = frozenset(self.garbage)
        return [
            segment
            for segment in self.base.head.retired
            if segment not in removed
        ]

    def _newly_retired(
        self,
        segments: Mapping[str, SegmentRef],
    ) -> list[RetiredSegment]:
        return [
            RetiredSegment(ref.key, ref.version, self.revision)
            for bucket, ref in self.base.head.segments.items()
            if segments.get(bucket) != ref
        ]


def plan_commit(
    base: Snapshot,
    change: Change,
    change_id: str,
    authorship: Authorship,
    base_revision: int,
    attempt: int = 0,
    merged: tuple[ChainPosition, ...] = (),
) -> CommitPlan:
    """
    Return the plan of committing ``change`` on top of ``base``.

    ``base_revision`` is the revision that the operator edited. Raises what
    `apply_change` raises, `StoreResetError` for a fenced head and
    `ChangeTooLargeError` for a value over 1 MB.
    """
    check_fence(base.head)
    revision = base.head.revision + 1
    tables = replace(apply_change(change, base.tables), revision=revision)
    suffix = f'{revision}-{change_id}-{attempt}'
    touched = {
        bucket_of(name)
        for name in change.touched_routes() | change.touched_pools()
    }
    rows = split_tables(tables, BUCKET_COUNT)
    record = AuditRecord(
        change_id=change_id,
        base_revision=base_revision,
        revision=revision,
        kind=authorship.kind,
        author=authorship.author,
        reason=authorship.reason,
        at=authorship.at,
        change=change,
    )
    return CommitPlan(
        base=base,
        change_id=change_id,
        tables=tables,
        segments={
            bucket: Write(
                f'{KEY_PREFIX}/segments/{bucket}-{suffix}',
                encode_segment(rows[bucket]),
            )
            for bucket in sorted(touched)
            if bucket in rows
        },
        emptied=frozenset(touched - rows.keys()),
        record=Write(record_key(revision, change_id), encode_record(record)),
        garbage=_garbage(base.head, revision),
        merged=merged,
    )


def record_key(revision: int, change_id: str) -> str:
    """Return the key of the audit record of a revision."""
    return f'{KEY_PREFIX}/records/{revision}-{change_id}'


def check_fence(head: Head) -> None:
    """Raise `StoreResetError` if an entry has fenced the store."""
    if head.fence is not None:
        held = head.fence.held
        raise StoreResetError(
            f'the store is at revision {head.revision}, but '
            f'{head.fence.entry} holds revision {held.revision}; put the '
            'tables back with "zinniaturn audit restore"',
        )


def _steps_to_keep(head: Head) -> tuple[ChainStep, ...]:
    if len(head.steps) < MAX_HEAD_STEPS:
        return head.steps
    return head.steps[STEPS_PER_PAGE:]


def _garbage(head: Head, revision: int) -> tuple[RetiredSegment, ...]:
    return tuple(
        segment
        for segment in head.retired
        if segment.since <= revision - RETIRED_SEGMENT_REVISIONS
    )
