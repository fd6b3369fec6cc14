"""
Commits changes to the tables by one compare-and-swap of the head.

A change keeps its id over all attempts. If the reply to the swap is lost, the
head is read back. If the change is not in it, the head is written once more
with the same content: its new version makes a swap that is still in flight
fail, which therefore cannot take effect after "not accepted" was reported.
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

_MAX_ATTEMPTS = 12
_BACKOFF_SECONDS = 0.05
_CHANGE_ID_PATTERN = re.compile('[A-Za-z0-9._-]{1,64}')


@dataclass(frozen=True, slots=True)
class StoredTables:
    """Tables as stored, with the version of the head."""

    tables: Tables
    version: int
    snapshot: Snapshot = EMPTY_SNAPSHOT


@dataclass(frozen=True, slots=True)
class SettledChange:
    """Final outcome of a change; ``revision`` is ``None`` if not accepted."""

    change_id: str
    revision: int | None


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change: its id and the snapshot that contains it."""

    change_id: str
    snapshot: Snapshot
    base_revision: int


@dataclass(slots=True)
class Proposal:
    """A change to be committed; only ``attempt`` differs between attempts."""

    change: Change
    change_id: str
    authorship: Authorship
    base_revision: int
    merged: tuple[ChainPosition, ...] = ()
    attempt: int = 0
    random_source: random.Random = field(default_factory=random.SystemRandom)


def new_change_id() -> str:
    """Return a random change id."""
    return uuid.uuid4().hex[:16]


async def read_tables(store: ConfigurationStore) -> StoredTables:
    """
    Return the tables that the store holds.

    Raises `ConfigurationUnavailableError` while the store is unavailable.
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
    """Commit like `commit_snapshot`, but return only the accepted tables."""
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
    Commit the change from ``base`` to ``edited`` as the next revision.

    Returns the accepted change. An empty change makes no revision. A change
    whose ``change_id`` was accepted before is not committed again: the result
    has the revision at which it was accepted.

    Changes to other rows that were accepted meanwhile are kept. Raises
    `OverlapError` if one of them touches the same rows, `PoolInUseError` and
    `DanglingRouteError` for broken references, `NotInitializedError` for an
    empty store unless ``may_initialize``, `StoreResetError` for a fenced
    store, `ConfigurationUnavailableError` if the store is unavailable and
    nothing was accepted, and `CommitUnknownError` if the outcome is unknown.
    """
    _check_change_id(change_id)
    earlier = base.snapshot.head.revision_of(change_id)
    if earlier is not None:
        tables = replace(base.tables, revision=earlier)
        return _without_new_revision(base, tables, change_id)
    check_fence(base.snapshot.head)
    check_references(edited)
    if not base.tables.revision and not may_initialize:
        raise NotInitializedError(
            'the store holds no tables; if it has never had any, say so with '
            '--initialize',
        )
    change = diff_tables(base.tables, edited)
    if change.is_empty():
        return _without_new_revision(base, base.tables, change_id)
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
    """
    Try to commit a proposal until it is accepted or rejected.

    Conflicting attempts are repeated on the current tables after a random
    backoff that grows with the number of attempts.
    """
    while proposal.attempt < _MAX_ATTEMPTS:
        accepted = await _try_commit(store, base, proposal)
        if accepted is not None:
            return accepted
        proposal.attempt += 1
        await asyncio.sleep(
            _BACKOFF_SECONDS
            * proposal.attempt
            * proposal.random_source.random(),
        )
        base = await _reload(store, base)
    raise CommitConflictError(
        f'{_MAX_ATTEMPTS} attempts each conflicted with another change; '
        'nothing was accepted',
    )


async def settle(store: ConfigurationStore, change_id: str) -> SettledChange:
    """
    Return the final outcome of a change.

    If the change is not in the chain, the head is written again with the same
    content: its new version makes a swap that is still in flight fail. Raises
    `CommitUnknownError` while the store gives no reply.
    """
    try:
        for _ in range(_MAX_ATTEMPTS):
            settlement = await _try_settle(store, change_id)
            if settlement is not None:
                return settlement
    except (StoreUnavailableError, StoreBusyError) as error:
        raise _unknown_outcome(change_id) from error
    raise _unknown_outcome(change_id)


async def _try_commit(
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
    head = await _write_before_head(store, plan)
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


async def _write_before_head(
    store: ConfigurationStore, plan: CommitPlan
) -> Head:
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


async def _reload(
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


def _without_new_revision(
    base: StoredTables,
    tables: Tables,
    change_id: str,
) -> AcceptedChange:
    snapshot = replace(base.snapshot, tables=tables)
    return AcceptedChange(change_id, snapshot, base.tables.revision)


def _check_change_id(change_id: str) -> None:
    if change_id and not _CHANGE_ID_PATTERN.fullmatch(change_id):
        raise ChangeIdError(
            f'{change_id!r}: up to 64 letters, digits, ".", "_" and "-"',
        )


def _unknown_outcome(change_id: str) -> CommitUnknownError:
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
