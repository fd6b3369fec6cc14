"""Implements ``zinniaturn schema``, which prints the published schemas."""

__all__ = ('schema',)

import click

from zinniaturn.platform.tenant_schema import tenants_schema_text
from zinniaturn.tables.schema import SCHEMAS, schema_text

_TENANTS = 'tenants'


@click.command()
@click.argument('table', type=click.Choice(sorted((*SCHEMAS, _TENANTS))))
def schema(table: str) -> None:
    """
    Print the JSON Schema of a route or pool table file.

    That of ``tenants`` is of the tenants in the platform's document.
    """
    text = tenants_schema_text() if table == _TENANTS else schema_text(table)
    click.echo(text, nl=False)
