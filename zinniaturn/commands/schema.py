"""Implements ``zinniaturn schema``, which prints the table files' schemas."""

__all__ = ('schema',)

import click

from zinniaturn.tables.schema import SCHEMAS, schema_text


@click.command()
@click.argument('table', type=click.Choice(sorted(SCHEMAS)))
def schema(table: str) -> None:
    """Print the JSON Schema of a route or pool table file."""
    click.echo(schema_text(table), nl=False)
