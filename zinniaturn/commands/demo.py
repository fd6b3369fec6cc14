"""Implements ``zinniaturn demo``, which runs the system on stand-ins."""

__all__ = ('demo', 'exit_status')

import asyncio
import sys

import click
import msgspec

from zinniaturn.commands.exit_status import ExitStatus
from zinniaturn.demo import DemoSummary, run_demo
from zinniaturn.demo.summary import format_summary
from zinniaturn.events import configure_logging


@click.command()
@click.option(
    '--seconds',
    type=click.FloatRange(1, 3600),
    default=10,
    show_default=True,
    help='How long the load lasts, in seconds.',
)
@click.option(
    '--seed',
    type=int,
    default=1,
    show_default=True,
    help='Seed of the load.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print one JSON object.')
def demo(seconds: float, seed: int, as_json: bool) -> None:
    """
    Run callers, entries and stand-in servers and print a summary.

    The exit status is 1 if a request was lost or ran twice.
    """
    configure_logging('ERROR', 'demo')
    summary = asyncio.run(run_demo(seconds, seed, _print_progress))
    if as_json:
        click.echo(msgspec.json.encode(summary).decode())
    else:
        click.echo(format_summary(summary))
    sys.exit(exit_status(summary))


def exit_status(summary: DemoSummary) -> ExitStatus:
    """Return the exit status for the summary of a demo."""
    if summary.is_clean():
        return ExitStatus.DONE
    return ExitStatus.CHECK_FAILED


def _print_progress(text: str) -> None:
    click.echo(text, err=True)
