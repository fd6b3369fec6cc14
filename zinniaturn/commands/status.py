"""Implements ``zinniaturn status``, which prints the state of all entries."""

__all__ = ('status',)

import asyncio
import sys
from collections.abc import Sequence

import click

from zinniaturn.commands.exit_status import ExitStatus
from zinniaturn.commands.options import (
    entries_option,
    json_option,
    optional_store_option,
)
from zinniaturn.commands.output import format_columns, print_json
from zinniaturn.commands.stores import open_optional_store
from zinniaturn.status import (
    EntryStatus,
    FleetStatus,
    find_admins,
    read_fleet,
)

_COLUMNS = (
    'ENTRY',
    'DATA CENTRE',
    'STATE',
    'REVISION',
    'AGE (s)',
    'PEERS',
    'LEASE',
    'STORE',
    'REASON',
)


@click.command()
@optional_store_option
@entries_option
@json_option
def status(store_url: str, entries: Sequence[str], as_json: bool) -> None:
    """
    Print the revision and the readiness of each entry.

    The entries are found through the store, the entries named by --entry and
    the peers that these know. The exit status is 1 if an entry is not ready,
    does not respond or has an older revision.
    """
    fleet = asyncio.run(_read_fleet(store_url, entries))
    if as_json:
        print_json(fleet)
    else:
        rows = [_format_row(entry) for entry in fleet.entries]
        click.echo(format_columns(_COLUMNS, rows))
        for missing in fleet.unreachable:
            click.echo(f'no response: {missing.reason}', err=True)
    if not _is_healthy(fleet):
        sys.exit(ExitStatus.CHECK_FAILED)


async def _read_fleet(store_url: str, entries: Sequence[str]) -> FleetStatus:
    async with open_optional_store(store_url) as store:
        return await read_fleet(await find_admins(store, entries))


def _is_healthy(fleet: FleetStatus) -> bool:
    is_ready = all(entry.is_ready for entry in fleet.entries)
    return is_ready and not fleet.entries_behind(fleet.revision())


def _format_row(entry: EntryStatus) -> Sequence[str]:
    age = entry.knowledge_age
    live = sum(peer.state == 'live' for peer in entry.peers)
    return [
        entry.name,
        entry.data_center or '-',
        entry.state,
        str(entry.revision),
        '-' if age is None else f'{age:.1f}',
        f'{live}/{len(entry.peers)}',
        str(entry.lease.fencing) if entry.lease.is_held else '-',
        'out' if entry.store_is_out else 'ok',
        entry.reason or '-',
    ]
