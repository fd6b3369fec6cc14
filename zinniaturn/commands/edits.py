"""Shows the changes of an edit of the tables and commits them."""

__all__ = ('Edit', 'EditOptions', 'commit_edit', 'load_tables')

import asyncio
import random
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Self

import click
import msgspec

from zinniaturn.commands.output import print_json
from zinniaturn.commands.stores import open_store
from zinniaturn.configuration import Snapshot, StoredTables, read_tables
from zinniaturn.configuration.commit import commit_snapshot
from zinniaturn.configuration.edits import check_references
from zinniaturn.membership import Member
from zinniaturn.peers import PeerClient
from zinniaturn.status import find_members, offer_to_entries, wait_in_force
from zinniaturn.store import HttpStore
from zinniaturn.tables import Tables
from zinniaturn.tables.differences import (
    RowChange,
    compare_tables,
    format_changes,
)
from zinniaturn.tables.files import STANDARD_INPUT

Edit = Callable[[Tables], Tables]


@dataclass(frozen=True, slots=True)
class EditOptions:
    """The options of an edit on the command line."""

    as_json: bool = False
    dry_run: bool = False
    author: str = ''
    reason: str = ''
    change_id: str = ''
    may_initialize: bool = False
    should_confirm: bool = False
    wait_seconds: float = 0

    @classmethod
    def from_command(
        cls, options: Mapping[str, object], file: str = ''
    ) -> Self:
        """
        Return the options of a command; ``file`` is the table file, if any.

        Confirmation is requested only on a terminal, and not if the file is
        read from standard input.
        """
        skips_confirmation = (
            options['yes'] or options['as_json'] or options['dry_run']
        )
        is_interactive = file != STANDARD_INPUT and sys.stdin.isatty()
        return cls(
            as_json=bool(options['as_json']),
            dry_run=bool(options['dry_run']),
            author=str(options['author']),
            reason=str(options['reason']),
            change_id=str(options['change_id']),
            may_initialize=bool(options['initialize']),
            should_confirm=is_interactive and not skips_confirmation,
            wait_seconds=float(str(options['wait'])),
        )


class EditOutput(msgspec.Struct):
    """
    The result of an edit as ``--json`` prints it.

    ``outcome`` is ``accepted``, ``unchanged`` or ``dry-run``. ``revision`` is
    the store's revision after the edit. With ``--wait``, ``in_force`` names the
    entries that have it in force and ``lagging`` those that do not, or that do
    not respond.
    """

    outcome: str
    revision: int
    base_revision: int
    changes: tuple[RowChange, ...]
    in_force: list[str] = []
    lagging: list[str] = []


def load_tables(store_url: str) -> Tables:
    """Return the tables in the store."""
    return asyncio.run(_load_tables(store_url))


def commit_edit(store_url: str, edit: Edit, options: EditOptions) -> None:
    """Print the changes of an edit and commit them, unless it is a dry run."""
    asyncio.run(_commit_edit(store_url, edit, options))


async def _load_tables(store_url: str) -> Tables:
    async with open_store(store_url) as store:
        return (await read_tables(store)).tables


async def _commit_edit(
    store_url: str, edit: Edit, options: EditOptions
) -> None:
    async with open_store(store_url) as store:
        base = await read_tables(store)
        edited = edit(base.tables)
        changes = compare_tables(base.tables, edited)
        if not options.as_json and changes:
            click.echo(format_changes(changes))
        if options.should_confirm and changes:
            click.confirm('Accept?', abort=True, err=True)
        output = await _commit_or_preview(store, base, edited, changes, options)
    if options.as_json:
        print_json(output)
    else:
        click.echo(_describe_outcome(output))


async def _commit_or_preview(
    store: HttpStore,
    base: StoredTables,
    edited: Tables,
    changes: tuple[RowChange, ...],
    options: EditOptions,
) -> EditOutput:
    revision = base.tables.revision
    if not changes:
        return EditOutput('unchanged', revision, revision, changes)
    if options.dry_run:
        check_references(edited)
        return EditOutput('dry-run', revision, revision, changes)
    members = await find_members(store)
    accepted = await commit_snapshot(
        store,
        base,
        edited,
        author=options.author,
        reason=options.reason,
        change_id=options.change_id,
        may_initialize=options.may_initialize,
    )
    await _send_to_entries(members, accepted.snapshot)
    output = EditOutput(
        'accepted',
        accepted.snapshot.tables.revision,
        revision,
        changes,
    )
    if options.wait_seconds:
        await _wait_until_in_force(
            members, output, accepted.change_id, options.wait_seconds
        )
    return output


async def _send_to_entries(
    members: tuple[Member, ...], snapshot: Snapshot
) -> None:
    client = PeerClient()
    try:
        await offer_to_entries(client, members, snapshot, random.Random())
    finally:
        await client.close()


async def _wait_until_in_force(
    members: tuple[Member, ...],
    output: EditOutput,
    change_id: str,
    seconds: float,
) -> None:
    admins = [str(member.admin) for member in members]
    fleet = await wait_in_force(admins, change_id, seconds)
    output.lagging = fleet.entries_without_change()
    output.in_force = [
        entry.name for entry in fleet.entries if entry.has_change
    ]


def _describe_outcome(output: EditOutput) -> str:
    match output.outcome:
        case 'unchanged':
            return f'no change; revision {output.revision} is current'
        case 'dry-run':
            return f'dry run; revision {output.revision} is current'
    parts = [f'accepted as revision {output.revision}']
    if output.in_force:
        parts.append(f'in force at {", ".join(output.in_force)}')
    if output.lagging:
        parts.append(f'not yet at {", ".join(output.lagging)}')
    return '; '.join(parts)
