"""Defines command line options that several subcommands share."""

__all__ = (
    'AUTHOR_VARIABLE',
    'STORE_URL_VARIABLE',
    'authorship_options',
    'dry_run_option',
    'edit_options',
    'entries_option',
    'json_option',
    'optional_store_option',
    'store_option',
    'vm_option',
)

from collections.abc import Callable
from typing import Any

import click

from zinniaturn.settings.fields import check_store_url

STORE_URL_VARIABLE = 'ZINNIATURN_STORE_URL'
AUTHOR_VARIABLE = 'ZINNIATURN_AUTHOR'

_MAX_AUTHOR_CHARACTERS = 100
_MAX_REASON_CHARACTERS = 500

Command = Callable[..., Any]


class _Text(click.ParamType):
    """Text of a bounded length without control characters."""

    name = 'text'

    def __init__(self, max_characters: int) -> None:
        self.max_characters = max_characters

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        if len(value) > self.max_characters:
            self.fail(f'over {self.max_characters} characters', param, ctx)
        if not value.isprintable():
            self.fail('contains control characters', param, ctx)
        return value


class _StoreUrl(click.ParamType):
    """A URL of the store."""

    name = 'url'

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        try:
            return check_store_url(value)
        except ValueError as error:
            self.fail(f'{value!r}: {error}', param, ctx)


class _OptionalStoreUrl(_StoreUrl):
    """A URL of the store, or an empty string."""

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        return super().convert(value, param, ctx) if value else ''


store_option = click.option(
    '--store-url',
    envvar=STORE_URL_VARIABLE,
    show_envvar=True,
    required=True,
    type=_StoreUrl(),
    help='URL of the configuration store, http://ADDRESS:PORT.',
)
optional_store_option = click.option(
    '--store-url',
    envvar=STORE_URL_VARIABLE,
    show_envvar=True,
    default='',
    type=_OptionalStoreUrl(),
    help='URL of the configuration store, if it is available.',
)
entries_option = click.option(
    '--entry',
    'entries',
    multiple=True,
    metavar='IP:PORT',
    help="An entry's admin address; may be given several times.",
)
json_option = click.option(
    '--json',
    'as_json',
    is_flag=True,
    help='Print one JSON object, also for an error.',
)
vm_option = click.option(
    '--vm',
    required=True,
    metavar='HOST:PORT',
    help='The metrics address of a gateway process.',
)
dry_run_option = click.option(
    '--dry-run',
    is_flag=True,
    help='Show the change without committing it.',
)
_AUTHORSHIP_OPTIONS = (
    click.option(
        '--author',
        envvar=AUTHOR_VARIABLE,
        show_envvar=True,
        type=_Text(_MAX_AUTHOR_CHARACTERS),
        default='',
        help='Author of the change; defaults to the login name.',
    ),
    click.option(
        '--reason',
        type=_Text(_MAX_REASON_CHARACTERS),
        default='',
        help='Reason for the change, for the audit trail.',
    ),
)
_EDIT_OPTIONS = (
    click.option('--yes', is_flag=True, help='Commit without confirmation.'),
    *_AUTHORSHIP_OPTIONS,
    click.option(
        '--wait',
        type=click.FloatRange(0, 3600),
        default=0,
        help='Seconds to wait until all entries have the revision in force.',
    ),
    click.option(
        '--change-id',
        type=_Text(_MAX_AUTHOR_CHARACTERS),
        default='',
        help='Id of the change; a new one is generated if not given.',
    ),
    click.option(
        '--initialize',
        is_flag=True,
        help='Create the first revision in a store that never had one.',
    ),
)


def authorship_options(command: Command) -> Command:
    """Add the options for the author and the reason of a change."""
    for option in reversed(_AUTHORSHIP_OPTIONS):
        command = option(command)
    return command


def edit_options(command: Command) -> Command:
    """Add the options that all edits of the tables have."""
    for option in reversed(_EDIT_OPTIONS):
        command = option(command)
    return command
