"""Implements ``zinniaturn experiment``, which runs and plots experiments."""

__all__ = ('experiment',)

import importlib
import sys
from pathlib import Path
from types import ModuleType

import click

from zinniaturn.experiments import experiments
from zinniaturn.experiments.choosing.generator import run_generator
from zinniaturn.experiments.choosing.results import read_results
from zinniaturn.experiments.choosing.tables import format_comparison
from zinniaturn.experiments.exceptions import PlotsUnavailableError
from zinniaturn.experiments.registry import ExperimentOptions


@click.group()
def experiment() -> None:
    """Run experiments with real processes on loopback."""


@experiment.command('list')
def list_experiments() -> None:
    """Print the names and summaries of the experiments."""
    for name, known in sorted(experiments().items()):
        click.echo(f'{name:<24}{known.summary}')


@experiment.command()
@click.argument('name')
@click.option(
    '--city',
    type=click.Choice(['riga', 'ulaanbaatar']),
    default='riga',
)
@click.option('--load', type=click.FloatRange(0.01, 10), default=0.85)
@click.option('--seed', type=int, default=1)
@click.option('--policy', 'policies', multiple=True)
@click.option('--seconds', type=click.FloatRange(0.1), default=None)
@click.option(
    '--out',
    type=click.Path(file_okay=False, path_type=Path),
    default=Path('out'),
)
@click.option('--json', 'as_json', is_flag=True)
def run(
    name: str,
    city: str,
    load: float,
    seed: int,
    policies: tuple[str, ...],
    seconds: float | None,
    out: Path,
    as_json: bool,
) -> None:
    """Run the experiment NAME and write its results to --out."""
    known = experiments()
    if name not in known:
        raise click.BadParameter(f'no experiment "{name}"', param_hint='NAME')
    out.mkdir(parents=True, exist_ok=True)
    options = ExperimentOptions(
        city=city,
        load=load,
        seed=seed,
        policies=policies,
        seconds=seconds,
        out=out,
        as_json=as_json,
    )
    sys.exit(known[name].load_function()(options))


@experiment.command(hidden=True)
@click.argument('order', type=click.Path(exists=True, path_type=Path))
@click.argument('rows', type=click.Path(path_type=Path))
def generate(order: Path, rows: Path) -> None:
    """Run one load generator process of an experiment."""
    run_generator(order, rows)


@experiment.command()
@click.argument('results', type=click.Path(exists=True, path_type=Path))
@click.argument('image', type=click.Path(path_type=Path))
def plot(results: Path, image: Path) -> None:
    """Plot a results file of a server choice experiment as a PNG image."""
    _load_plots().plot_results(read_results(results), image)


@experiment.command()
@click.argument('before', type=click.Path(exists=True, path_type=Path))
@click.argument('after', type=click.Path(exists=True, path_type=Path))
def compare(before: Path, after: Path) -> None:
    """Print the differences between two results files for each policy."""
    click.echo(format_comparison(read_results(before), read_results(after)))


def _load_plots() -> ModuleType:
    """Return the plotting module; the one-file binary lacks matplotlib."""
    try:
        return importlib.import_module('zinniaturn.experiments.choosing.plots')
    except ModuleNotFoundError as error:
        raise PlotsUnavailableError(
            f'{error.name} is not installed; plot with the installed package',
        ) from error
