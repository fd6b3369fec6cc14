"""
Builds the commands ``zinniaturn routes`` and ``zinniaturn pools``.

The two tables have the same subcommands. A `TableKind` describes how the
tables differ, and `table_group` builds the subcommands from it.
"""

__all__ = ('TableKind', 'table_group')

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

import click

from zinniaturn.commands.edits import (
    EditOptions,
    commit_edit,
    load_tables,
)
from zinniaturn.commands.options import (
    dry_run_option,
    edit_options,
    json_option,
    store_option,
)
from zinniaturn.commands.output import format_columns, print_json, print_yaml
from zinniaturn.configuration.exceptions import RowNotFoundError
from zinniaturn.tables import Tables, read_table_file
from zinniaturn.tables.models import PoolModel, RouteModel

Row = TypeVar('Row', RouteModel, PoolModel)


@dataclass(frozen=True, slots=True)
class TableKind(Generic[Row]):
    """
    The properties of one of the two tables.

    ``name`` is its key in table files and ``noun`` the word for one row.
    ``columns`` and ``summarize`` give header and cells of the listing,
    ``rows`` returns the table's rows, ``parse`` parses a file's text (its name
    is the second argument), and ``apply`` and ``delete`` edit the tables.
    """

    name: str
    noun: str
    columns: tuple[str, ...]
    summarize: Callable[[Row], Sequence[str]]
    rows: Callable[[Tables], Sequence[Row]]
    parse: Callable[[str, str], Sequence[Row]]
    apply: Callable[[Tables, Sequence[Row]], Tables]
    delete: Callable[[Tables, Iterable[str]], Tables]


def table_group(kind: TableKind[Row]) -> click.Group:
    """Return the command group of a table."""
    group = click.Group(kind.name, help=f'Read and edit the {kind.noun} table.')
    group.add_command(_list_command(kind))
    group.add_command(_show_command(kind))
    group.add_command(_apply_command(kind))
    group.add_command(_delete_command(kind))
    return group


def _list_command(kind: TableKind[Row]) -> click.Command:
    @click.command('list', help=f'Print a line for each {kind.noun}.')
    @store_option
    @json_option
    def list_rows(store_url: str, as_json: bool) -> None:
        tables = load_tables(store_url)
        if as_json:
            print_json(_build_document(kind, tables, kind.rows(tables)))
            return
        lines = [kind.summarize(row) for row in kind.rows(tables)]
        click.echo(format_columns(kind.columns, lines))
        click.echo(f'revision {tables.revision}', err=True)

    return list_rows


def _show_command(kind: TableKind[Row]) -> click.Command:
    @click.command(
        'show',
        help=(
            f'Print the {kind.name} with these NAMES, or all, in the form '
            'that "apply" reads.'
        ),
    )
    @click.argument('names', nargs=-1)
    @store_option
    @json_option
    def show_rows(names: Sequence[str], store_url: str, as_json: bool) -> None:
        tables = load_tables(store_url)
        rows = _select_rows(kind, tables, names)
        document = _build_document(kind, tables, rows)
        if as_json:
            print_json(document)
        else:
            print_yaml({kind.name: document[kind.name]})

    return show_rows


def _apply_command(kind: TableKind[Row]) -> click.Command:
    @click.command(
        'apply',
        help=(
            f'Add or replace the {kind.name} in FILE ("-" is standard input). '
            f'Other {kind.name} stay as they are.'
        ),
    )
    @click.argument('file')
    @dry_run_option
    @edit_options
    @store_option
    @json_option
    def apply_rows(file: str, store_url: str, **options: object) -> None:
        rows = kind.parse(read_table_file(file), file)

        def edit(tables: Tables) -> Tables:
            return kind.apply(tables, rows)

        commit_edit(store_url, edit, EditOptions.from_command(options, file))

    return apply_rows


def _delete_command(kind: TableKind[Row]) -> click.Command:
    @click.command('delete', help=f'Delete the {kind.name} with these NAMES.')
    @click.argument('names', nargs=-1, required=True)
    @dry_run_option
    @edit_options
    @store_option
    @json_option
    def delete_rows(
        names: Sequence[str],
        store_url: str,
        **options: object,
    ) -> None:
        def edit(tables: Tables) -> Tables:
            return kind.delete(tables, names)

        commit_edit(store_url, edit, EditOptions.from_command(options))

    return delete_rows


def _select_rows(
    kind: TableKind[Row],
    tables: Tables,
    names: Sequence[str],
) -> Sequence[Row]:
    rows = {row.name: row for row in kind.rows(tables)}
    missing = [name for name in names if name not in rows]
    if missing:
        raise RowNotFoundError(f'there is no {kind.noun} "{missing[0]}"')
    return [rows[name] for name in names or rows]


def _build_document(
    kind: TableKind[Row],
    tables: Tables,
    rows: Sequence[Row],
) -> dict[str, object]:
    dumped = [row.model_dump(mode='json') for row in rows]
    return {'revision': tables.revision, kind.name: dumped}
