"""Reads the audit trail from the store."""

__all__ = ('diff_revisions', 'list_records', 'read_record')

from zinniaturn.configuration.changes import Change, diff_tables
from zinniaturn.configuration.commit import read_tables
from zinniaturn.configuration.exceptions import (
    RevisionNotFoundError,
    StoredStateError,
)
from zinniaturn.configuration.history import tables_at_revision
from zinniaturn.configuration.layout import read_head
from zinniaturn.configuration.pages import find_revision, read_pages
from zinniaturn.configuration.planning import record_key
from zinniaturn.configuration.records import AuditRecord, decode_record
from zinniaturn.store import ConfigurationStore

_CHANGE_ID_LENGTH = 16


async def list_records(
    store: ConfigurationStore,
    limit: int,
) -> tuple[AuditRecord, ...]:
    """
    Return the last ``limit`` records, the newest first.

    Records that were lost when the store was reset are missing.
    """
    head = (await read_head(store)).head
    records: list[AuditRecord] = []
    async for page in read_pages(store, head):
        numbered = list(enumerate(page.steps, page.first_revision))
        for revision, step in reversed(numbered):
            if len(records) == limit:
                return tuple(records)
            stored = await store.read(record_key(revision, step.change_id))
            if stored.version:
                records.append(decode_record(stored.value))
    return tuple(records)


async def read_record(store: ConfigurationStore, name: str) -> AuditRecord:
    """
    Return the record of a revision number or a change id.

    A decimal ``name`` that is shorter than a generated change id is a revision
    number.
    Raises `RevisionNotFoundError` if there is no record.
    """
    head = (await read_head(store)).head
    if name.isdecimal() and len(name) < _CHANGE_ID_LENGTH:
        revision: int | None = int(name)
    else:
        revision = await find_revision(store, head, name)
    if revision is not None:
        async for page in read_pages(store, head):
            index = revision - page.first_revision
            if 0 <= index < len(page.steps):
                key = record_key(revision, page.steps[index].change_id)
                stored = await store.read(key)
                if stored.version:
                    return decode_record(stored.value)
    raise RevisionNotFoundError(f'the audit trail has no "{name}"')


async def diff_revisions(
    store: ConfigurationStore,
    first: int,
    second: int,
) -> Change:
    """
    Return the change that leads from one revision to another.

    Raises `RevisionNotFoundError` if the trail does not reach back that far.
    """
    current = await read_tables(store)
    try:
        before = await tables_at_revision(store, current, first)
        after = await tables_at_revision(store, current, second)
    except StoredStateError as error:
        raise RevisionNotFoundError(error.message) from error
    return diff_tables(before, after)
