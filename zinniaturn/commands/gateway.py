"""Implements ``zinniaturn gateway``, which runs a VM's gateway process."""

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
        f'The settings file; defaults to the one that ${SETTINGS_VARIABLE} '
        'names.'
    ),
)
@click.option(
    '--metrics-port',
    type=click.IntRange(0, 65_535),
    default=0,
    help='Port that serves metrics; 0 for none.',
)
@click.option('--check', is_flag=True, help='Only check the settings.')
def gateway(path: str | None, metrics_port: int, check: bool) -> None:
    """
    Run the gateway process of a VM on the platform until it is stopped.

    SIGTERM stops it gracefully, SIGHUP makes it reload its settings. The
    platform starts ``python -m zinniaturn.platform`` instead, which imports
    less.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, '')
    settings = read_settings(path, metrics_port)
    if check:
        click.echo(f'{settings.name}: the settings are valid')
        return
    os.environ[SETTINGS_VARIABLE] = path
    main([str(metrics_port)])
