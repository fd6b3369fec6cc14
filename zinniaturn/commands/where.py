"""Implements ``zinniaturn explain where``, a question about one request."""

__all__ = ('where',)

import asyncio

import click

from zinniaturn.commands.options import json_option, vm_option
from zinniaturn.commands.output import print_json
from zinniaturn.explain.where_text import describe_where
from zinniaturn.gateway.where_answer import WhereAnswer
from zinniaturn.status.vm_requests import call_vm, decode_response

_PATH = '/where'


@click.command()
@click.argument('path')
@click.option('--host', default='', help='The Host of the request.')
@click.option('--method', default='GET', help='The method of the request.')
@click.option(
    '--data-center',
    default='',
    help="The caller's data centre, for what look-ups tell it.",
)
@click.option(
    '--tenant', default='', help='The name of the tenant, never its key.'
)
@vm_option
@json_option
def where(
    path: str,
    host: str,
    method: str,
    data_center: str,
    tenant: str,
    vm: str,
    as_json: bool,
) -> None:
    """
    Tell where a request to PATH would go now at a VM, and why.

    Nothing is sent to a server, no permit is taken and nothing changes. The
    loads are those of the last reports, whose ages are printed; a request
    would probe some of the servers first. The exit status is 0 whatever the
    answer, also if the request would be rejected.
    """
    asked = {
        'host': host,
        'path': path,
        'method': method,
        'data_center': data_center,
        'tenant': tenant,
    }
    raw = asyncio.run(call_vm('GET', vm, _PATH, asked))
    answer = decode_response(raw, WhereAnswer)
    if as_json:
        print_json(answer)
        return
    for line in describe_where(answer):
        click.echo(line)
