"""Rolls back to an older revision by committing its rows as a new one."""

__all__ = ('roll_back',)

from zinniaturn.configuration.commit import commit, read_tables
from zinniaturn.configuration.history import tables_at_revision
from zinniaturn.configuration.records import ChangeKind
from zinniaturn.store import ConfigurationStore
from zinniaturn.tables.domain import Tables


async def roll_back(
    store: ConfigurationStore,
    revision: int,
    author: str,
    reason: str,
) -> Tables:
    """
    Commit the rows of ``revision`` as the next revision and return that one.

    A change that is accepted at the same time is kept if it touches other rows.
    Raises `RevisionNotFoundError` and the exceptions of `commit`.
    """
    current = await read_tables(store)
    older = await tables_at_revision(store, current, revision)
    return await commit(
        store,
        current,
        older,
        author=author,
        reason=reason or f'back to revision {revision}',
        kind=ChangeKind.ROLLBACK,
    )
