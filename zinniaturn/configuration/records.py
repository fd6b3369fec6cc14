"""Records of the audit trail and their stored format."""

__all__ = ('AuditRecord', 'ChangeKind', 'decode_record', 'encode_record')

import enum
from dataclasses import dataclass

import msgspec

from zinniaturn.configuration.changes import Change
from zinniaturn.configuration.exceptions import StoredStateError
from zinniaturn.configuration.segments import pack, unpack
from zinniaturn.tables import TablesError, decode_tables, encode_tables


class ChangeKind(enum.Enum):
    """Kind of the operation that made a revision."""

    EDIT = 'edit'
    ROLLBACK = 'rollback'
    RESTORE = 'restore'


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """
    An accepted change.

    ``base_revision`` is the revision that the operator edited and ``revision``
    the one that the change made. ``at`` is in seconds since the epoch by the
    operator's clock.
    """

    change_id: str
    base_revision: int
    revision: int
    kind: ChangeKind
    author: str
    reason: str
    at: float
    change: Change


class _StoredRecord(msgspec.Struct):
    change_id: str
    base_revision: int
    revision: int
    kind: ChangeKind
    author: str
    reason: str
    at: float
    before: str
    after: str


def encode_record(record: AuditRecord) -> str:
    """
    Return a record as compressed text.

    Raises `ChangeTooLargeError` if it is over 1 MB.
    """
    stored = _StoredRecord(
        change_id=record.change_id,
        base_revision=record.base_revision,
        revision=record.revision,
        kind=record.kind,
        author=record.author,
        reason=record.reason,
        at=record.at,
        before=encode_tables(record.change.before),
        after=encode_tables(record.change.after),
    )
    return pack(msgspec.json.encode(stored).decode())


def decode_record(text: str) -> AuditRecord:
    """Return the record in ``text``; raises `StoredStateError`."""
    try:
        stored = msgspec.json.decode(unpack(text), type=_StoredRecord)
        change = Change(
            decode_tables(stored.before),
            decode_tables(stored.after),
        )
    except (msgspec.DecodeError, StoredStateError, TablesError) as error:
        raise StoredStateError(f'a record is damaged: {error}') from error
    return AuditRecord(
        change_id=stored.change_id,
        base_revision=stored.base_revision,
        revision=stored.revision,
        kind=stored.kind,
        author=stored.author,
        reason=stored.reason,
        at=stored.at,
        change=change,
    )
