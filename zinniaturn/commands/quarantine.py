"""Implements ``zinniaturn quarantine``: requests that are kept from servers."""

__all__ = ('quarantine',)

import asyncio
import sys

import click

from zinniaturn.commands.exit_status import ExitStatus
from zinniaturn.commands.options import json_option, vm_option
from zinniaturn.commands.output import format_columns, print_json
from zinniaturn.gateway.quarantine_endpoint import HeldRequest, LiftResult
from zinniaturn.status.vm_requests import call_vm, decode_response

_COLUMNS = ('KEY', 'STATE', 'HELD (s)', 'CRASHES', 'ENDED WELL', 'SERVERS')
_MOST_SERVERS = 3


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
    raw = asyncio.run(call_vm('GET', vm, '/quarantine'))
    held = decode_response(raw, list[HeldRequest])
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
    raw = asyncio.run(call_vm('DELETE', vm, f'/quarantine/{key}'))
    lifted = decode_response(raw, LiftResult)
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
