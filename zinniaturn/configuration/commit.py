"""
Commits: one compare-and-swap of the head accepts a change.

A change keeps its identity over all attempts. Where the swap's reply is lost,
the head is read back; a version bump makes sure that a write which is still
on its way cannot take effect after the answer "not accepted".
"""

__all__ = (
    'AcceptedChange',
    'SettledChange',
    'StoredTables',
    'commit',
    'commit_snapshot',
    'new_change_id',
    'read_tables',
    'settle',
    'user_name',
)

import asyncio
import getpass
import random
import re
import time
import uuid
from dataclasses import dataclass, field, replace

from zinniaturn.configuration.changes import Change, diff_tables
from zinniaturn.configuration.edits import check_references
from zinniaturn.configuration.exceptions import (
    ChangeIdError,
    CommitConflictError,
    CommitUnknownError,
    ConfigurationUnavailableError,
    NotInitializedError,
)
from zinniaturn.configuration.head import ChainPosition, Head, encode_head
from zinniaturn.configuration.layout import (
    HEAD_KEY,
    create_keys,
    declare_intent,
    delete_keys,
    load_snapshot,
    read_head,
)
from zinniaturn.configuration.pages import archive_page, find_revision
from zinniaturn.configuration.planning import (
    Authorship,
    CommitPlan,
    check_fence,
    plan_commit,
)
from zinniaturn.configuration.records import ChangeKind
from zinniaturn.configuration.snapshot import (
    EMPTY_SNAPSHOT,
    Snapshot,
    assemble_snapshot,
)
from zinniaturn.store import (
    ConfigurationStore,
    StoreBusyError,
    StoreConflictError,
    StoreUnavailableError,
)
from zinniaturn.tables import Tables

_ATTEMPTS = 12
_PAUSE_SECONDS = 0.05
_CHANGE_ID = re.compile('[A-Za-z0-9._-]{1,64}')


@dataclass(frozen=True, slots=True)
class StoredTables:
    """Tables as stored, with the version of the head."""

    tables: Tables
    version: int
    snapshot: Snapshot = EMPTY_SNAPSHOT


@dataclass(frozen=True, slots=True)
class SettledChange:
    """What became of a change; ``revision`` is ``None`` if not accepted."""

    change_id: str
    revision: int | None


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change: its identity and the snapshot that it led to."""

    change_id: str
    snapshot: Snapshot
    base_revision: int


@dataclass(slots=True)
class Proposal:
    """A change on its way: it stays the same over all attempts."""

    change: Change
    change_id: str
    authorship: Authorship
    base_revision: int
    merged: tuple[ChainPosition, ...] = ()
    attempt: int = 0
    source: random.Random = field(default_factory=random.SystemRandom)


def new_change_id() -> str:
    """Return a fresh change id."""
    return uuid.uuid4().hex[:16]


async def read_tables(store: ConfigurationStore) -> StoredTables:
    """
    Return the tables as the store holds them.

    Raises `ConfigurationUnavailableError` while the store is out.
    """
    try:
        snapshot, version = await load_snapshot(store)
    except (StoreUnavailableError, StoreBusyError) as error:
        raise ConfigurationUnavailableError(str(error)) from error
    return StoredTables(snapshot.tables, version, snapshot)


async def commit(
    store: ConfigurationStore,
    base: StoredTables,
    edited: Tables,
    *,
    author: str = '',
    reason: str = '',
    change_id: str = '',
    may_initialize: bool = True,
    kind: ChangeKind = ChangeKind.EDIT,
) -> Tables:
    """Do what `commit_snapshot` does and return the accepted tables."""
    accepted = await commit_snapshot(
        store,
        base,
        edited,
        author=author,
        reason=reason,
        change_id=change_id,
        may_initialize=may_initialize,
        kind=kind,
    )
    return accepted.snapshot.tables


async def commit_snapshot(
    store: ConfigurationStore,
    base: StoredTables,
    edited: Tables,
    *,
    author: str = '',
    reason: str = '',
    change_id: str = '',
    may_initialize: bool = True,
    kind: ChangeKind = ChangeKind.EDIT,
) -> AcceptedChange:
    """
    Make the change from ``base`` to ``edited`` the next revision.

    A ``change_id`` given again is not accepted again: the revision it was
    accepted as is returned.

    Returns the accepted change; an empty change makes no revision. A change
    accepted meanwhile that touches other rows is kept. Raises `OverlapError`
    where it touches the same ones, `PoolInUseError` and `DanglingRouteError`
    for broken references, `NotInitializedError` for an empty store unless
    ``may_initialize``, `StoreResetError` for a fenced one,
    `ConfigurationUnavailableError` where nothing was accepted and
    `CommitUnknownError` where that is not known.
    """
    _check_change_id(change_id)
    earlier = base.snapshot.head.revision_of(change_id)
    if earlier is not None:
        tables = replace(base.tables, revision=earlier)
        return _unchanged(base, tables, change_id)
    check_fence(base.snapshot.head)
    check_references(edited)
    if not base.tables.revision and not may_initialize:
        raise NotInitializedError(
            'the store holds no tables; if it has never had any, say so with '
            '--initialize',
        )
    change = diff_tables(base.tables, edited)
    if change.is_empty():
        return _unchanged(base, base.tables, change_id)
    proposal = Proposal(
        change=change,
        change_id=change_id or new_change_id(),
        authorship=Authorship(
            author or user_name(),
            reason,
            time.time(),
            kind,
        ),
        base_revision=base.tables.revision,
    )
    return await propose(store, base, proposal)


async def propose(
    store: ConfigurationStore,
    base: StoredTables,
    proposal: Proposal,
) -> AcceptedChange:
    """Try a proposal until it is accepted or refused."""
    while proposal.attempt < _ATTEMPTS:
        accepted = await _attempt(store, base, proposal)
        if accepted is not None:
            return accepted
        proposal.attempt += 1
        await asyncio.sleep(
            _PAUSE_SECONDS * proposal.attempt * proposal.source.random(),
        )
        base = await _read_again(store, base)
    raise CommitConflictError(
        f'{_ATTEMPTS} attempts met another change each; nothing was accepted',
    )


async def settle(store: ConfigurationStore, change_id: str) -> SettledChange:
    """
    Return what became of a change, for good.

    Where the change is not in the chain, the head's version is moved, so
    that a swap which is still on its way fails. Raises
    `CommitUnknownError` while the store gives no reply.
    """
    try:
        for _ in range(_ATTEMPTS):
            settlement = await _try_settle(store, change_id)
            if settlement is not None:
                return settlement
    except (StoreUnavailableError, StoreBusyError) as error:
        raise _unknown(change_id) from error
    raise _unknown(change_id)


async def _attempt(
    store: ConfigurationStore,
    base: StoredTables,
    proposal: Proposal,
) -> AcceptedChange | None:
    plan = plan_commit(
        base.snapshot,
        proposal.change,
        proposal.change_id,
        proposal.authorship,
        proposal.base_revision,
        proposal.attempt,
        proposal.merged,
    )
    head = await _prepare(store, plan)
    try:
        await store.compare_and_swap(
            HEAD_KEY,
            base.version,
            encode_head(head),
        )
    except (StoreConflictError, StoreBusyError):
        return None
    except StoreUnavailableError:
        settlement = await settle(store, proposal.change_id)
        if settlement.revision is None:
            return None
    texts = {bucket: write.text for bucket, write in plan.segments.items()}
    return AcceptedChange(
        proposal.change_id,
        assemble_snapshot(head, texts, base.snapshot),
        proposal.base_revision,
    )


async def _prepare(store: ConfigurationStore, plan: CommitPlan) -> Head:
    try:
        await archive_page(store, plan.base.head)
        await declare_intent(store, plan)
        versions = await create_keys(store, plan.writes())
        await delete_keys(store, plan.garbage)
    except (StoreUnavailableError, StoreBusyError) as error:
        raise ConfigurationUnavailableError(
            f'nothing was accepted: {error}',
        ) from error
    return plan.head(versions)


async def _read_again(
    store: ConfigurationStore,
    base: StoredTables,
) -> StoredTables:
    try:
        snapshot, version = await load_snapshot(store, base.snapshot)
    except (StoreUnavailableError, StoreBusyError) as error:
        raise ConfigurationUnavailableError(
            f'nothing was accepted: {error}',
        ) from error
    return StoredTables(snapshot.tables, version, snapshot)


async def _try_settle(
    store: ConfigurationStore,
    change_id: str,
) -> SettledChange | None:
    stored = await read_head(store)
    check_fence(stored.head)
    revision = await find_revision(store, stored.head, change_id)
    if revision is not None:
        return SettledChange(change_id, revision)
    try:
        await store.compare_and_swap(
            HEAD_KEY,
            stored.version,
            encode_head(stored.head),
        )
    except StoreConflictError:
        return None
    return SettledChange(change_id, None)


def _unchanged(
    base: StoredTables,
    tables: Tables,
    change_id: str,
) -> AcceptedChange:
    snapshot = replace(base.snapshot, tables=tables)
    return AcceptedChange(change_id, snapshot, base.tables.revision)


def _check_change_id(change_id: str) -> None:
    if change_id and not _CHANGE_ID.fullmatch(change_id):
        raise ChangeIdError(
            f'{change_id!r}: up to 64 letters, digits, ".", "_" and "-"',
        )


def _unknown(change_id: str) -> CommitUnknownError:
    return CommitUnknownError(
        f'the store gave no reply, so change {change_id} may or may not have '
        f'been accepted; ask later with "zinniaturn audit settle {change_id}"',
        change_id,
    )


def user_name() -> str:
    """Return the name of the operator who runs this process."""
    try:
        return getpass.getuser()
    except OSError:
        return 'unknown'
