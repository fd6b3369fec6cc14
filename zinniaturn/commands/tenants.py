"""Implements ``zinniaturn tenants``: the tenants that a VM knows."""

__all__ = ('tenants',)

import asyncio
import sys

import click

from zinniaturn.commands.exit_status import ExitStatus
from zinniaturn.commands.options import json_option, vm_option
from zinniaturn.commands.output import format_columns, print_json
from zinniaturn.commands.tenants_check import check_file
from zinniaturn.gateway.tenants_endpoint import (
    TENANTS_PATH,
    TenantsAnswer,
    TenantView,
)
from zinniaturn.status.vm_requests import call_vm, decode_response

_COLUMNS = ('NAME', 'PRIORITY', 'RATE (/s)', 'BURST', 'KEYS', 'REJECTED')


@click.group()
def tenants() -> None:
    """Read the tenants of a VM, and check those of a document."""


@tenants.command('list')
@vm_option
@json_option
def list_tenants(vm: str, as_json: bool) -> None:
    """
    List the tenants of the tables in force at a VM, and what it rejected.

    Keys are counted, never printed. The rejections are those of this VM since
    its start.
    """
    answer = _fetch(vm, {})
    if as_json:
        print_json(answer)
        return
    if not answer.are_configured:
        click.echo('no tenants are configured, so that no request needs a key')
        return
    rows = [_row(view) for view in answer.tenants]
    click.echo(format_columns(_COLUMNS, rows))
    unnamed = answer.count - len(answer.tenants)
    if unnamed:
        click.echo(f'and {unnamed} more')
    click.echo(f'rejected for their keys: {_counts(answer.for_keys)}')
    click.echo(
        f'{answer.vm}: tables revision {answer.tables_revision}', err=True
    )


@tenants.command('show')
@click.argument('name')
@vm_option
@json_option
def show_tenant(name: str, vm: str, as_json: bool) -> None:
    """
    Show the tenant NAME as a VM knows it, and what it rejected of it.

    The exit status is 1 if the VM knows no tenant of this name.
    """
    answer = _fetch(vm, {'name': name})
    if as_json:
        print_json(answer)
    for view in () if as_json else answer.tenants:
        click.echo(_describe(view))
    if not answer.tenants:
        # What was given may be a key, so it isn't repeated.
        click.echo(f'{answer.vm} knows no tenant of this name', err=True)
        sys.exit(ExitStatus.CHECK_FAILED)


def _fetch(vm: str, parameters: dict[str, str]) -> TenantsAnswer:
    raw = asyncio.run(call_vm('GET', vm, TENANTS_PATH, parameters))
    return decode_response(raw, TenantsAnswer)


def _row(view: TenantView) -> list[str]:
    return [
        view.name,
        _priority(view),
        f'{view.rate_per_s:g}' if view.rate_per_s else 'no limit',
        f'{view.burst:g}',
        str(view.keys),
        str(sum(view.rejected.values())),
    ]


def _describe(view: TenantView) -> str:
    allowance = 'no limit'
    if view.rate_per_s:
        allowance = f'{view.rate_per_s:g}/s with a burst of {view.burst:g}'
    return '\n'.join(
        (
            f'name: {view.name}',
            f'priority: {_priority(view)}',
            f'allowance: {allowance}',
            f'keys: {view.keys}',
            f'rejected: {_counts(view.rejected)}',
        )
    )


def _priority(view: TenantView) -> str:
    return 'route' if view.priority is None else str(view.priority)


def _counts(counts: dict[str, int]) -> str:
    """Return counts by code."""
    texts = (f'{count} {code}' for code, count in sorted(counts.items()))
    return ', '.join(texts) or 'none'


tenants.add_command(check_file)
