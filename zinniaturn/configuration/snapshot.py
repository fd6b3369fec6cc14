"""
Snapshots: a head with the rows of its segments.

Only the segments that changed are decoded for a new snapshot; the others are
shared with the previous snapshot.
"""

__all__ = (
    'EMPTY_SNAPSHOT',
    'Snapshot',
    'assemble_snapshot',
    'missing_segments',
)

from collections.abc import Mapping
from dataclasses import dataclass, field

from zinniaturn.configuration.exceptions import StoredStateError
from zinniaturn.configuration.head import Head, SegmentRef
from zinniaturn.configuration.segments import decode_segment
from zinniaturn.tables.domain import Pool, Route, Tables


@dataclass(frozen=True, slots=True)
class Segment:
    """A segment's text and its rows."""

    digest: str
    text: str
    rows: Tables


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Both tables at a revision, with the head and segments they come from."""

    head: Head = field(default_factory=Head)
    segments: Mapping[str, Segment] = field(default_factory=dict)
    tables: Tables = field(default_factory=Tables)


EMPTY_SNAPSHOT = Snapshot()


def missing_segments(
    head: Head,
    known: Snapshot,
) -> Mapping[str, SegmentRef]:
    """Return the segments of ``head`` that ``known`` lacks, by bucket."""
    return {
        bucket: ref
        for bucket, ref in head.segments.items()
        if bucket not in known.segments
        or known.segments[bucket].digest != ref.digest
    }


def assemble_snapshot(
    head: Head,
    texts: Mapping[str, str],
    known: Snapshot,
) -> Snapshot:
    """
    Return the snapshot of ``head``.

    ``texts`` holds the segments that ``known`` lacks, by bucket. Raises
    `StoredStateError` if one is missing or damaged.
    """
    segments: dict[str, Segment] = {}
    missing = missing_segments(head, known)
    for bucket, ref in head.segments.items():
        if bucket not in missing:
            segments[bucket] = known.segments[bucket]
            continue
        text = texts.get(bucket)
        if text is None:
            raise StoredStateError(f'segment {ref.key} is missing')
        rows = decode_segment(text, ref.digest)
        segments[bucket] = Segment(ref.digest, text, rows)
    return Snapshot(head, segments, _merge_rows(head.revision, segments))


def _merge_rows(revision: int, segments: Mapping[str, Segment]) -> Tables:
    routes: dict[str, Route] = {}
    pools: dict[str, Pool] = {}
    for segment in segments.values():
        routes.update(segment.rows.routes)
        pools.update(segment.rows.pools)
    return Tables(revision, routes, pools)
