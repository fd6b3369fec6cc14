"""
The ``zinniaturn`` command and its subcommands.

A subcommand's module is loaded only when it is asked for, so that a light
command does not pay for a heavy one.
"""

__all__ = ('main',)

import importlib
import sys
from types import MappingProxyType

import click

from zinniaturn import VERSION
from zinniaturn.errors import CodedError

_COMMANDS = MappingProxyType(
    {
        'demo': 'zinniaturn.commands.demo:demo',
        'entry': 'zinniaturn.commands.entry:entry',
        'experiment': 'zinniaturn.commands.experiment:experiment',
        'pools': 'zinniaturn.commands.pools:pools',
        'routes': 'zinniaturn.commands.routes:routes',
        'standin': 'zinniaturn.commands.standin:standin',
    }
)

EXIT_REFUSED = 3


class _LazyGroup(click.Group):
    """A group that imports a subcommand's module on its first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(_COMMANDS)

    def get_command(
        self,
        ctx: click.Context,
        cmd_name: str,
    ) -> click.Command | None:
        target = _COMMANDS.get(cmd_name)
        if target is None:
            return None
        module_name, _, attribute = target.partition(':')
        module = importlib.import_module(module_name)
        command: click.Command = getattr(module, attribute)
        return command


@click.group(
    cls=_LazyGroup,
    context_settings={'auto_envvar_prefix': 'ZINNIATURN'},
)
@click.version_option(VERSION, prog_name='zinniaturn')
def cli() -> None:
    """Pick the backend server for each request of tireless callers."""


def main() -> None:
    """Run the command line; coded errors become one line and a status."""
    try:
        cli(prog_name='zinniaturn')
    except CodedError as error:
        click.echo(f'zinniaturn: {error}', err=True)
        sys.exit(EXIT_REFUSED)
