"""
Defines the ``zinniaturn`` command, which loads its subcommands on demand.

A subcommand's module is imported only when the subcommand is used, so that
small commands start quickly without the imports of the large ones.
"""

__all__ = ('cli', 'main')

import importlib
import sys
import traceback
from types import MappingProxyType

import click

from zinniaturn import VERSION
from zinniaturn.commands.exit_status import ExitStatus, exit_status_of
from zinniaturn.commands.output import print_error
from zinniaturn.errors import CodedError

_COMMANDS = MappingProxyType(
    {
        'audit': 'zinniaturn.commands.audit:audit',
        'completion': 'zinniaturn.commands.completion:completion',
        'demo': 'zinniaturn.commands.demo:demo',
        'entry': 'zinniaturn.commands.entry:entry',
        'evacuations': 'zinniaturn.commands.evacuations:evacuations',
        'experiment': 'zinniaturn.commands.experiment:experiment',
        'explain': 'zinniaturn.commands.explain:explain',
        'gateway': 'zinniaturn.commands.gateway:gateway',
        'pools': 'zinniaturn.commands.pools:pools',
        'quarantine': 'zinniaturn.commands.quarantine:quarantine',
        'routes': 'zinniaturn.commands.routes:routes',
        'schema': 'zinniaturn.commands.schema:schema',
        'standin': 'zinniaturn.commands.standin:standin',
        'status': 'zinniaturn.commands.status:status',
        'tenants': 'zinniaturn.commands.tenants:tenants',
    }
)


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
        _show_environment_variables(command)
        return command


@click.group(
    cls=_LazyGroup,
    context_settings={'auto_envvar_prefix': 'ZINNIATURN'},
)
@click.version_option(VERSION, prog_name='zinniaturn')
def cli() -> None:
    """
    Choose a backend server for each request of automated callers.

    The exit status is 0 when done, 1 when a check failed, 2 for wrong usage
    or settings, 3 when refused, 4 when the outcome of a change is unknown,
    5 when the store or an address is unavailable, 7 when a process has no
    configuration yet, 8 when it is of a build that can't answer, 70 for an
    internal error.
    """


def main() -> None:
    """Run the command line; an error is printed and sets the exit status."""
    try:
        cli(prog_name='zinniaturn')
    except CodedError as error:
        print_error(error, as_json='--json' in sys.argv)
        sys.exit(exit_status_of(error))
    except Exception:
        click.echo(f'zinniaturn: internal: {traceback.format_exc()}', err=True)
        sys.exit(ExitStatus.INTERNAL)


def _show_environment_variables(command: click.Command) -> None:
    """Show the environment variable of every option in its help text."""
    for parameter in command.params:
        if isinstance(parameter, click.Option):
            parameter.show_envvar = True
    if isinstance(command, click.Group):
        for child in command.commands.values():
            _show_environment_variables(child)
