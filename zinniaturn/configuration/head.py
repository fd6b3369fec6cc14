"""
The head: the small value whose compare-and-swap commits a change.

It holds the revision number, references to the segments with the rows, and
the last steps of the hash chain of changes. The chain's digests distinguish
an older copy of the head from a forked history with the same revision numbers.
"""

__all__ = (
    'ChainPosition',
    'ChainStep',
    'Fence',
    'Head',
    'RetiredSegment',
    'SegmentRef',
    'decode_head',
    'encode_head',
    'extend_chain',
)

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from zinniaturn.configuration.exceptions import StoredStateError

_CHAIN_DIGEST_CHARS = 16


@dataclass(frozen=True, slots=True)
class SegmentRef:
    """Location of a bucket's rows: key, its version and the text's digest."""

    key: str
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class ChainStep:
    """A link of the hash chain: an accepted change and the digest up to it."""

    change_id: str
    chain: str


@dataclass(frozen=True, slots=True)
class ChainPosition:
    """A revision number with the digest that identifies its history."""

    revision: int
    chain: str


@dataclass(frozen=True, slots=True)
class RetiredSegment:
    """A segment to which no revision from ``since`` on refers."""

    key: str
    version: int
    since: int


@dataclass(frozen=True, slots=True)
class Fence:
    """
    A mark that ``entry`` has installed ``held``, which the store has lost.

    No change is accepted until the tables are restored.
    """

    held: ChainPosition
    entry: str


@dataclass(frozen=True, slots=True)
class Head:
    """
    A revision of both tables, with references to the rows.

    ``steps`` are the last steps of the chain, the newest last. ``merged``
    lists the ends of other histories whose changes were merged into this one.
    """

    revision: int = 0
    steps: tuple[ChainStep, ...] = ()
    segments: Mapping[str, SegmentRef] = field(default_factory=dict)
    retired: tuple[RetiredSegment, ...] = ()
    merged: tuple[ChainPosition, ...] = ()
    fence: Fence | None = None

    @property
    def chain(self) -> str:
        """Return the chain's digest at this revision, or '' at revision 0."""
        return self.steps[-1].chain if self.steps else ''

    @property
    def position(self) -> ChainPosition:
        """Return the revision number and the chain's digest."""
        return ChainPosition(self.revision, self.chain)

    @property
    def first_revision(self) -> int:
        """Return the oldest revision whose step the head holds."""
        return self.revision - len(self.steps) + 1

    def chain_at(self, revision: int) -> str | None:
        """Return the digest at a revision, or ``None`` without its step."""
        index = revision - self.first_revision
        if 0 <= index < len(self.steps):
            return self.steps[index].chain
        return None

    def revision_of(self, change_id: str) -> int | None:
        """Return the revision of a change among the head's steps."""
        for index, step in enumerate(self.steps):
            if step.change_id == change_id:
                return self.first_revision + index
        return None


def encode_head(head: Head) -> str:
    """Return the head as JSON text."""
    return msgspec.json.encode(head).decode()


def decode_head(text: str) -> Head:
    """Return the head in JSON ``text``; raises `StoredStateError`."""
    try:
        return msgspec.json.decode(text, type=Head)
    except (msgspec.DecodeError, UnicodeError) as error:
        raise StoredStateError(f'the head is invalid: {error}') from error


def extend_chain(chain: str, change_id: str, digests: Iterable[str]) -> str:
    """
    Return the chain's digest after a change.

    ``digests`` are those of the segments after the change.
    """
    text = '\n'.join((chain, change_id, *sorted(digests)))
    return hashlib.sha256(text.encode()).hexdigest()[:_CHAIN_DIGEST_CHARS]
