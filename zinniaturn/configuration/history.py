"""Older revisions of the tables, reconstructed from the audit trail."""

__all__ = ('tables_at_revision',)

from dataclasses import replace

from zinniaturn.configuration.changes import Change
from zinniaturn.configuration.commit import StoredTables
from zinniaturn.configuration.exceptions import RevisionNotFoundError
from zinniaturn.configuration.pages import read_pages
from zinniaturn.configuration.planning import record_key
from zinniaturn.configuration.records import decode_record
from zinniaturn.store import ConfigurationStore
from zinniaturn.tables.domain import Tables


async def tables_at_revision(
    store: ConfigurationStore,
    current: StoredTables,
    revision: int,
) -> Tables:
    """
    Return the tables at an older revision.

    The changes since then are reverted one by one. Raises
    `RevisionNotFoundError` if the audit trail does not reach back that far.
    """
    head = current.snapshot.head
    tables = current.tables
    if not 0 <= revision <= head.revision:
        raise RevisionNotFoundError(f'there is no revision {revision}')
    async for page in read_pages(store, head):
        numbered = list(enumerate(page.steps, page.first_revision))
        for number, step in reversed(numbered):
            if number <= revision:
                return replace(tables, revision=revision)
            stored_value = await store.read(record_key(number, step.change_id))
            if not stored_value.version:
                raise RevisionNotFoundError(
                    f'the record of revision {number} is gone',
                )
            tables = _revert(decode_record(stored_value.value).change, tables)
    if revision:
        raise RevisionNotFoundError(f'revision {revision} is too old')
    return replace(tables, revision=0)


def _revert(change: Change, tables: Tables) -> Tables:
    # References are not checked: every older revision was consistent.
    routes = {
        name: row
        for name, row in tables.routes.items()
        if name not in change.after.routes
    }
    pools = {
        name: row
        for name, row in tables.pools.items()
        if name not in change.after.pools
    }
    return Tables(
        tables.revision,
        {**routes, **change.before.routes},
        {**pools, **change.before.pools},
    )
