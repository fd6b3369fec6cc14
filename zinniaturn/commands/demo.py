"""``zinniaturn demo``."""

__all__ = ('demo',)

import asyncio
import sys

import click
import msgspec

from zinniaturn.demo import run_demo
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
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--json', 'as_json', is_flag=True, help='Print one JSON object.')
def demo(seconds: float, seed: int, as_json: bool) -> None:
    """
    Run the whole path on stand-ins and print a summary.

    The exit status is 1 if a request was lost or doubled.
    """
    configure_logging('ERROR', 'demo')
    summary = asyncio.run(run_demo(seconds, seed, _print_progress))
    if as_json:
        click.echo(msgspec.json.encode(summary).decode())
    else:
        click.echo(format_summary(summary))
    if not summary.is_clean():
        sys.exit(1)


def _print_progress(text: str) -> None:
    click.echo(text, err=True)
