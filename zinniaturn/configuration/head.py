"""
The head: the one small value whose swap accepts a change.

It names the revision, the segments that hold the rows, and the last steps of
the chain of changes. The chain's digests tell an older copy from another
history with the same numbers.
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

_DIGEST_CHARS = 16


@dataclass(frozen=True, slots=True)
class SegmentRef:
    """Where a bucket's rows are: the key, its version and the digest."""

    key: str
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class ChainStep:
    """An accepted change and the digest of the chain up to it."""

    change_id: str
    chain: str


@dataclass(frozen=True, slots=True)
class ChainPosition:
    """A revision of a certain history."""

    revision: int
    chain: str


@dataclass(frozen=True, slots=True)
class RetiredSegment:
    """A segment that no revision from ``since`` on refers to."""

    key: str
    version: int
    since: int


@dataclass(frozen=True, slots=True)
class Fence:
    """
    A mark that an entry holds ``held``, which the store has lost.

    No change is accepted until the tables are put back.
    """

    held: ChainPosition
    entry: str


@dataclass(frozen=True, slots=True)
class Head:
    """
    A state of both tables without their rows.

    ``steps`` are the last ones, the newest last. ``merged`` lists ends of
    other histories whose changes this one took in.
    """

    revision: int = 0
    steps: tuple[ChainStep, ...] = ()
    segments: Mapping[str, SegmentRef] = field(default_factory=dict)
    retired: tuple[RetiredSegment, ...] = ()
    merged: tuple[ChainPosition, ...] = ()
    fence: Fence | None = None

    @property
    def chain(self) -> str:
        """Return the digest of the chain up to this revision."""
        return self.steps[-1].chain if self.steps else ''

    @property
    def position(self) -> ChainPosition:
        """Return the revision and the chain."""
        return ChainPosition(self.revision, self.chain)

    @property
    def first_revision(self) -> int:
        """Return the oldest revision whose step is known."""
        return self.revision - len(self.steps) + 1

    def chain_at(self, revision: int) -> str | None:
        """Return the chain's digest at a revision, or ``None``."""
        index = revision - self.first_revision
        if 0 <= index < len(self.steps):
            return self.steps[index].chain
        return None

    def revision_of(self, change_id: str) -> int | None:
        """Return the revision that a change was accepted as, or ``None``."""
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
    """Return the chain's digest after a change that led to ``digests``."""
    text = '\n'.join((chain, change_id, *sorted(digests)))
    return hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_CHARS]
