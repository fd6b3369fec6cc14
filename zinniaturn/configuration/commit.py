"""Commits: one compare-and-swap moves both tables to the next revision."""

__all__ = ('TABLES_KEY', 'commit', 'read_tables')

import json
import uuid
from dataclasses import dataclass, replace

from zinniaturn.configuration.edits import check_references
from zinniaturn.configuration.exceptions import (
    CommitConflictError,
    CommitUnknownError,
    ConfigurationUnavailableError,
)
from zinniaturn.store import (
    ConfigurationStore,
    StoreConflictError,
    StoreUnavailableError,
)
from zinniaturn.tables import Tables, decode_tables, encode_tables

TABLES_KEY = 'zinniaturn/tables'


@dataclass(frozen=True, slots=True)
class StoredTables:
    """Tables with the store's version of their key."""

    tables: Tables
    version: int


async def read_tables(store: ConfigurationStore) -> StoredTables:
    """
    Return the tables as the store holds them.

    Raises `ConfigurationUnavailableError` while the store is out.
    """
    try:
        entry = await store.read(TABLES_KEY)
    except StoreUnavailableError as error:
        raise ConfigurationUnavailableError(str(error)) from error
    if not entry.version:
        return StoredTables(Tables(), 0)
    return StoredTables(decode_tables(entry.value), entry.version)


async def commit(
    store: ConfigurationStore,
    base: StoredTables,
    edited: Tables,
) -> Tables:
    """
    Make ``edited`` the next revision after ``base`` and return it.

    Raises `CommitConflictError` where another change came first and
    `CommitUnknownError` where the outcome cannot be found out now.
    """
    check_references(edited)
    accepted = replace(edited, revision=base.tables.revision + 1)
    change_id = uuid.uuid4().hex
    text = encode_tables(accepted, change_id)
    try:
        await store.compare_and_swap(TABLES_KEY, base.version, text)
    except StoreConflictError as error:
        raise CommitConflictError(
            f'the tables are no longer at revision {base.tables.revision}',
        ) from error
    except StoreUnavailableError:
        await _settle(store, accepted.revision, change_id)
    return accepted


async def _settle(
    store: ConfigurationStore,
    revision: int,
    change_id: str,
) -> None:
    try:
        entry = await store.read(TABLES_KEY)
    except StoreUnavailableError as error:
        raise CommitUnknownError(
            f'revision {revision} may have been accepted; ask again with '
            f'change {change_id}',
        ) from error
    stored = json.loads(entry.value or '{}')
    if stored.get('change_id') != change_id:
        raise CommitConflictError(f'change {change_id} was not accepted')
