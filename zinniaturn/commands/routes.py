"""``zinniaturn routes``."""

__all__ = ('routes',)

from pathlib import Path

import click
import msgspec
import yaml

from zinniaturn.commands.options import json_option, store_option
from zinniaturn.commands.tables import accept_edit, load_tables
from zinniaturn.configuration import apply_routes
from zinniaturn.tables import parse_routes
from zinniaturn.tables.codec import models_of


@click.group()
def routes() -> None:
    """Read and edit the route table."""


@routes.command('list')
@store_option
@json_option
def list_routes(store_url: str, as_json: bool) -> None:
    """Print the route table."""
    tables = load_tables(store_url)
    rows = models_of(tables)[0]
    dumped = [row.model_dump(mode='json') for row in rows]
    if as_json:
        click.echo(_json({'revision': tables.revision, 'routes': dumped}))
    else:
        click.echo(
            yaml.safe_dump({'routes': dumped}, sort_keys=False), nl=False
        )


@routes.command()
@click.argument('file', type=click.Path(exists=True, path_type=Path))
@click.option('--dry-run', is_flag=True, help='Show the change only.')
@store_option
def apply(file: Path, dry_run: bool, store_url: str) -> None:
    """Add or replace the routes in FILE."""
    models = parse_routes(file.read_text('utf-8'), file.name)
    rows = [model.to_domain() for model in models]
    accept_edit(store_url, lambda tables: apply_routes(tables, rows), dry_run)


def _json(document: object) -> str:
    return msgspec.json.encode(document).decode()
