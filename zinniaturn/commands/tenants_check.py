"""Implements ``zinniaturn tenants check``, a check of a document's tenants."""

__all__ = ('check_file',)

import sys

import click
import msgspec

from zinniaturn.commands.exit_status import ExitStatus
from zinniaturn.commands.options import json_option
from zinniaturn.commands.output import print_json
from zinniaturn.platform.column_tables import ColumnTable
from zinniaturn.platform.tenant_rows import (
    TenantCheck,
    TenantProblem,
    check_tenants,
)
from zinniaturn.tables import read_table_file

_MOST_PRINTED = 100


class _Document(msgspec.Struct):
    """A document of which only the tenants are read."""

    tenants: ColumnTable | None = None


class CheckOutput(msgspec.Struct):
    """The result of a check; at most 100 ``problems`` of ``count``."""

    file: str
    tenants: int
    keys: int
    is_accepted: bool
    count: int
    problems: list[TenantProblem]


@click.command('check')
@click.argument('file')
@json_option
def check_file(file: str, as_json: bool) -> None:
    """
    Check the tenants of the document in FILE ("-" is standard input).

    FILE is a document as the store's key op/config holds it; only its tenants
    are read, as VMs read them. The exit status is 1 if VMs would refuse the
    document for its tenants, would ignore a part of them, or if it has none.
    """
    check = _check(read_table_file(file))
    output = CheckOutput(
        file,
        check.tenants,
        check.keys,
        check.is_accepted,
        len(check.problems),
        check.problems[:_MOST_PRINTED],
    )
    if as_json:
        print_json(output)
    else:
        _print(output)
    if output.count:
        sys.exit(ExitStatus.CHECK_FAILED)


def _check(text: str) -> TenantCheck:
    check = TenantCheck()
    try:
        document = msgspec.json.decode(text, type=_Document)
    except (msgspec.DecodeError, RecursionError) as error:
        reason = str(error) or 'it is nested too deeply'
        check.problems.append(TenantProblem(0, reason, True))
        return check
    if document.tenants is None:
        check.problems.append(
            TenantProblem(0, 'it has no tenants: no request needs a key', False)
        )
        return check
    return check_tenants(document.tenants)


def _print(output: CheckOutput) -> None:
    for problem in output.problems:
        place = f'row {problem.row}: ' if problem.row else ''
        end = 'the document is refused' if problem.is_refused else 'ignored'
        click.echo(f'{output.file}: {place}{problem.text} ({end})')
    unnamed = output.count - len(output.problems)
    if unnamed:
        click.echo(f'and {unnamed} more')
    verdict = 'accept' if output.is_accepted else 'refuse'
    click.echo(
        f'{output.file}: {output.tenants} tenants with {output.keys} keys, '
        f'which VMs {verdict}'
    )
