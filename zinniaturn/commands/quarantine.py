"""Implements ``zinniaturn quarantine``: requests that are kept from servers."""

__all__ = ('quarantine',)

import asyncio
import sys
from typing import TypeVar

import aiohttp
import click
import msgspec

from zinniaturn.commands.exit_status import ExitStatus
from zinniaturn.commands.options import json_option
from zinniaturn.commands.output import format_columns, print_json
from zinniaturn.gateway.quarantine_endpoint import HeldRequest, LiftResult
from zinniaturn.status.exceptions import StatusError

_TIMEOUT_SECONDS = 5.0
_COLUMNS = ('KEY', 'STATE', 'HELD (s)', 'CRASHES', 'ENDED WELL', 'SERVERS')
_MOST_SERVERS = 3
_OK_STATUS = 200

Content = TypeVar('Content')

vm_option = click.option(
    '--vm',
    required=True,
    metavar='HOST:PORT',
    help='The metrics address of any gateway process.',
)


@click.group()
def quarantine() -> None:
    """List and lift requests that are kept from servers that they would end."""


@quarantine.command('list')
@vm_option
@json_option
def list_held(vm: str, as_json: bool) -> None:
    """
    List the requests that are suspected or held, as a VM knows them.

    All VMs know the same within a second. The key of a request is in the log
    lines 710 and 760 to 763.
    """
    raw = asyncio.run(_call('GET', f'http://{vm}/quarantine'))
    held = _decode(raw, list[HeldRequest])
    if as_json:
        print_json(held)
        return
    click.echo(format_columns(_COLUMNS, [_row(one) for one in held]))


@quarantine.command()
@click.argument('key')
@vm_option
@json_option
def lift(key: str, vm: str, as_json: bool) -> None:
    """
    Let a held request run again, on all VMs.

    KEY is as in the list. It is held anew once it has ended three more servers.
    The exit status is 1 if the VM knows of no crash of it.
    """
    raw = asyncio.run(_call('DELETE', f'http://{vm}/quarantine/{key}'))
    lifted = _decode(raw, LiftResult)
    if as_json:
        print_json(lifted)
    elif lifted.was_known:
        click.echo(f'{lifted.key}: lifted')
    else:
        click.echo(f'{lifted.key}: no crash of this request is known')
    if not lifted.was_known:
        sys.exit(ExitStatus.CHECK_FAILED)


def _row(held: HeldRequest) -> list[str]:
    servers = ' '.join(held.servers[-_MOST_SERVERS:])
    return [
        held.key,
        'held' if held.is_held else 'suspected',
        f'{held.held_seconds:.0f}' if held.is_held else '-',
        str(held.crashes),
        str(held.completions),
        servers,
    ]


async def _call(method: str, url: str) -> bytes:
    timeout = aiohttp.ClientTimeout(_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url) as response,
        ):
            if response.status != _OK_STATUS:
                raise StatusError(f'{url}: {response.status}')
            return await response.read()
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        raise StatusError(f'{url}: {error!r}') from error


def _decode(raw: bytes, kind: type[Content]) -> Content:
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.DecodeError as error:
        raise StatusError(f'unreadable response: {error}') from error
