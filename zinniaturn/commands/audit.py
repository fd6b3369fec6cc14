"""Implements ``zinniaturn audit``, the trail of accepted changes."""

__all__ = ('audit',)

import asyncio
import datetime
import time
from collections.abc import Sequence

import aiohttp
import click
import msgspec

from zinniaturn.audit import (
    diff_revisions,
    list_records,
    read_record,
    roll_back,
)
from zinniaturn.commands.options import (
    authorship_options,
    entries_option,
    json_option,
    store_option,
)
from zinniaturn.commands.output import format_columns, print_json
from zinniaturn.commands.stores import open_store
from zinniaturn.configuration import Change, settle
from zinniaturn.configuration.commit import new_change_id, user_name
from zinniaturn.configuration.exceptions import RevisionNotFoundError
from zinniaturn.configuration.planning import Authorship
from zinniaturn.configuration.records import AuditRecord
from zinniaturn.configuration.restoring import RestorePlan, restore
from zinniaturn.status import (
    FleetStatus,
    StatusError,
    find_admins,
    read_entry_tables,
    read_fleet,
)
from zinniaturn.tables.differences import (
    RowChange,
    compare_tables,
    format_changes,
)

_COLUMNS = ('REVISION', 'FROM', 'WHEN', 'KIND', 'WHO', 'CHANGE', 'ROWS', 'WHY')


class RecordOutput(msgspec.Struct):
    """An audit record as ``--json`` prints it; ``at`` is in ISO 8601."""

    revision: int
    base_revision: int
    change_id: str
    kind: str
    author: str
    at: str
    reason: str
    changes: tuple[RowChange, ...]


class SettledOutput(msgspec.Struct):
    """A settled change or new revision as ``--json`` prints it."""

    outcome: str
    revision: int | None


@click.group()
def audit() -> None:
    """Read the audit trail; settle, roll back and restore changes."""


@audit.command('list')
@click.option('--limit', type=click.IntRange(1, 10_000), default=20)
@store_option
@json_option
def list_changes(limit: int, store_url: str, as_json: bool) -> None:
    """Print the latest changes, the newest first."""

    async def read() -> tuple[AuditRecord, ...]:
        async with open_store(store_url) as store:
            return await list_records(store, limit)

    records = [_build_record_output(record) for record in asyncio.run(read())]
    if as_json:
        print_json({'changes': records})
    else:
        click.echo(
            format_columns(
                _COLUMNS, [_format_row(record) for record in records]
            )
        )


@audit.command()
@click.argument('name')
@store_option
@json_option
def show(name: str, store_url: str, as_json: bool) -> None:
    """Print one change by its revision or its change id."""

    async def read() -> AuditRecord:
        async with open_store(store_url) as store:
            return await read_record(store, name)

    output = _build_record_output(asyncio.run(read()))
    if as_json:
        print_json(output)
        return
    click.echo(format_columns(_COLUMNS, [_format_row(output)]))
    click.echo(format_changes(output.changes))


@audit.command()
@click.argument('first', type=click.IntRange(0))
@click.argument('second', type=click.IntRange(0))
@store_option
@json_option
def diff(first: int, second: int, store_url: str, as_json: bool) -> None:
    """Print the differences between revision FIRST and revision SECOND."""

    async def read() -> Change:
        async with open_store(store_url) as store:
            return await diff_revisions(store, first, second)

    changes = _row_changes(asyncio.run(read()))
    if as_json:
        print_json({'first': first, 'second': second, 'changes': changes})
    elif changes:
        click.echo(format_changes(changes))
    else:
        click.echo('no difference')


@audit.command('settle')
@click.argument('change_id')
@store_option
@json_option
def settle_change(change_id: str, store_url: str, as_json: bool) -> None:
    """
    Determine whether the change CHANGE_ID of unknown outcome was accepted.

    The result is final: a write that is still in flight cannot take effect
    after the result "not accepted".
    """

    async def settle_in_store() -> int | None:
        async with open_store(store_url) as store:
            return (await settle(store, change_id)).revision

    revision = asyncio.run(settle_in_store())
    outcome = 'not-accepted' if revision is None else 'accepted'
    if as_json:
        print_json(SettledOutput(outcome, revision))
    elif revision is None:
        click.echo(f'change {change_id} was not accepted and never will be')
    else:
        click.echo(f'change {change_id} was accepted as revision {revision}')


@audit.command()
@click.argument('revision', type=click.IntRange(1))
@authorship_options
@store_option
@json_option
def rollback(
    revision: int,
    author: str,
    reason: str,
    store_url: str,
    as_json: bool,
) -> None:
    """Commit the rows of REVISION as a new revision."""

    async def run() -> int:
        async with open_store(store_url) as store:
            tables = await roll_back(store, revision, author, reason)
            return tables.revision

    accepted = asyncio.run(run())
    if as_json:
        print_json(SettledOutput('accepted', accepted))
    else:
        click.echo(f'accepted as revision {accepted}')


@audit.command('restore')
@entries_option
@click.option(
    '--prefer-entries',
    is_flag=True,
    help='Drop changes in the store that overlap with those of the entries.',
)
@authorship_options
@store_option
@json_option
def restore_tables(
    entries: Sequence[str],
    prefer_entries: bool,
    author: str,
    reason: str,
    store_url: str,
    as_json: bool,
) -> None:
    """
    Restore the tables of a store that lost them from the entries.

    They are read from the entry with the highest revision. Changes that the
    store has accepted since are applied on top, under the same change ids.
    """
    authorship = Authorship(author or user_name(), reason, time.time())
    plan = asyncio.run(
        _restore_from_entries(store_url, entries, authorship, prefer_entries),
    )
    if as_json:
        print_json(SettledOutput('accepted', plan.tables.revision))
        return
    click.echo(f'accepted as revision {plan.tables.revision}')
    for record in plan.left_out:
        click.echo(f'dropped: change {record.change_id}', err=True)


async def _restore_from_entries(
    store_url: str,
    entries: Sequence[str],
    authorship: Authorship,
    prefers_entries: bool,
) -> RestorePlan:
    async with open_store(store_url) as store:
        fleet = await read_fleet(await find_admins(store, entries))
        admin = _newest_admin_address(fleet)
        timeout = aiohttp.ClientTimeout(10)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            entry_tables = await read_entry_tables(session, admin)
        return await restore(
            store,
            entry_tables,
            authorship,
            new_change_id(),
            prefers_entries,
        )


def _newest_admin_address(fleet: FleetStatus) -> str:
    revision = fleet.revision()
    if not revision:
        raise RevisionNotFoundError('no entry that responds has tables')
    newest = [entry for entry in fleet.entries if entry.revision == revision]
    if len({entry.chain for entry in newest}) > 1:
        names = ', '.join(entry.name for entry in newest)
        raise StatusError(f'{names} have different tables as {revision}')
    return newest[0].admin


def _build_record_output(record: AuditRecord) -> RecordOutput:
    at = datetime.datetime.fromtimestamp(record.at, datetime.UTC)
    return RecordOutput(
        revision=record.revision,
        base_revision=record.base_revision,
        change_id=record.change_id,
        kind=record.kind.value,
        author=record.author,
        at=at.isoformat(timespec='seconds'),
        reason=record.reason,
        changes=_row_changes(record.change),
    )


def _row_changes(change: Change) -> tuple[RowChange, ...]:
    return compare_tables(change.before, change.after)


def _format_row(record: RecordOutput) -> Sequence[str]:
    return [
        str(record.revision),
        str(record.base_revision),
        record.at,
        record.kind,
        record.author,
        record.change_id,
        str(len(record.changes)),
        record.reason or '-',
    ]
