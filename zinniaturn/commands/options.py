"""Options that several subcommands share."""

__all__ = ('STORE_URL_VARIABLE', 'json_option', 'store_option')

import click

STORE_URL_VARIABLE = 'ZINNIATURN_STORE_URL'

store_option = click.option(
    '--store-url',
    envvar=STORE_URL_VARIABLE,
    required=True,
    help='URL of the configuration store.',
)
json_option = click.option(
    '--json',
    'as_json',
    is_flag=True,
    help='Print JSON for programs.',
)
