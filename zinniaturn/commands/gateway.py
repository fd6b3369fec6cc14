"""``zinniaturn gateway``."""

__all__ = ('gateway',)

import os

import click

from zinniaturn.platform.running import main
from zinniaturn.platform.settings_file import SETTINGS_VARIABLE, read_settings


@click.command()
@click.option(
    '--settings',
    'path',
    help=(
        f'The settings file; ${SETTINGS_VARIABLE} names it where this is '
        'not given.'
    ),
)
@click.option(
    '--metrics-port',
    type=click.IntRange(0, 65_535),
    default=0,
    help='Where counters are served; 0 for nowhere.',
)
@click.option('--check', is_flag=True, help='Only check the settings.')
def gateway(path: str | None, metrics_port: int, check: bool) -> None:
    """
    Run the gateway process of a VM on the platform until it is told to stop.

    SIGTERM stops it gracefully, SIGHUP has it read its settings again. What
    the platform starts is ``python -m zinniaturn.platform``, which loads less.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, '')
    settings = read_settings(path, metrics_port)
    if check:
        click.echo(f'{settings.name}: the settings can be used')
        return
    os.environ[SETTINGS_VARIABLE] = path
    main([str(metrics_port)])
