"""Implements ``zinniaturn evacuations``: data centres that get no requests."""

__all__ = ('evacuations',)

import asyncio
from datetime import UTC, datetime

import click

from zinniaturn.commands.options import json_option, vm_option
from zinniaturn.commands.output import format_columns, print_json
from zinniaturn.gateway.evacuations_endpoint import (
    EVACUATIONS_PATH,
    EvacuationsAnswer,
    EvacuationView,
)
from zinniaturn.status.vm_requests import call_vm, decode_response

_COLUMNS = ('DATA CENTRE', 'KNOWN SINCE', 'FOR (s)', 'SERVERS', 'STORE')


@click.group()
def evacuations() -> None:
    """List the data centres whose servers get no requests."""


@evacuations.command('list')
@vm_option
@json_option
def list_evacuations(vm: str, as_json: bool) -> None:
    """
    List the evacuated data centres that a VM knows, and since when.

    The times are those at which this VM learnt of each. They are lost as the
    process restarts.
    """
    raw = asyncio.run(call_vm('GET', vm, EVACUATIONS_PATH))
    answer = decode_response(raw, EvacuationsAnswer)
    if as_json:
        print_json(answer)
        return
    if answer.evacuations:
        rows = [_row(view) for view in answer.evacuations]
        click.echo(format_columns(_COLUMNS, rows))
    else:
        click.echo('no data centre is evacuated')
    click.echo(_describe(answer), err=True)


def _describe(answer: EvacuationsAnswer) -> str:
    text = f'{answer.vm}: confirmed {answer.age_seconds:.1f} s ago'
    if not answer.are_followed:
        return f'{text}; they have no effect, as the settings set no bound'
    if answer.are_in_doubt:
        return f'{text}; requests are rejected until they are known'
    return text


def _row(view: EvacuationView) -> list[str]:
    moment = datetime.fromtimestamp(view.known_at, UTC)
    stored = 'holds it'
    if view.kept_seconds is not None:
        stored = f'lost it, kept for {view.kept_seconds:.0f} s'
    return [
        view.data_center,
        moment.isoformat(timespec='seconds'),
        f'{view.known_seconds:.0f}',
        str(view.servers),
        stored,
    ]
