"""
Implements ``zinniaturn completion``, which prints click's shell scripts.

click's check of the bash version is skipped, since it would start another
process.
"""

__all__ = ('completion',)

import click
from click.shell_completion import ShellComplete, get_completion_class

_SHELLS = ('bash', 'fish', 'zsh')
_PROGRAM = 'zinniaturn'
_VARIABLE = '_ZINNIATURN_COMPLETE'


@click.command()
@click.argument('shell', type=click.Choice(_SHELLS))
@click.pass_context
def completion(ctx: click.Context, shell: str) -> None:
    """
    Print the completion script of a shell.

    For bash, put this into ~/.bashrc: eval "$(zinniaturn completion bash)"
    """
    script_class = get_completion_class(shell)
    assert script_class is not None
    root = ctx.find_root().command
    script = script_class(root, {}, _PROGRAM, _VARIABLE)
    click.echo(ShellComplete.source(script))
