"""Plots of results: latency by percentile, and over time."""

__all__ = ('plot_results',)

from pathlib import Path

import matplotlib as mpl
from hdrh.histogram import HdrHistogram
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from zinniaturn.experiments.choosing.results import PolicyFigures, Results

_MILLISECONDS = 1000
_NINES = (0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.998, 0.999)
_PERCENT = 100


def plot_results(results: Results, path: Path) -> None:
    """Write a PNG with the main service's latencies and goodput."""
    mpl.use('Agg')
    figure, (by_percentile, over_time) = plt.subplots(1, 2, figsize=(12, 4.5))
    columns = [
        column
        for column in results.figures
        if column.service == results.main_service
    ]
    for column in columns:
        _plot_percentiles(by_percentile, column)
        _plot_timeline(over_time, column)
    by_percentile.set_xlabel('percentile')
    by_percentile.set_ylabel('latency from due time, ms')
    by_percentile.set_xscale('log')
    by_percentile.set_xticks(
        [1 / (1 - share) for share in _NINES],
        [f'{share * _PERCENT:g}' for share in _NINES],
    )
    by_percentile.minorticks_off()
    by_percentile.legend()
    over_time.set_xlabel('seconds since the start of the slice')
    over_time.set_ylabel('p99 of requests due then, ms')
    over_time.set_yscale('log')
    figure.suptitle(
        f'{results.experiment}, {results.city}, load {results.load}, '
        f'seed {results.seed}',
    )
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _plot_percentiles(axes: Axes, column: PolicyFigures) -> None:
    histogram = HdrHistogram.decode(column.histogram)
    axes.plot(
        [1 / (1 - share) for share in _NINES],
        [
            histogram.get_value_at_percentile(share * _PERCENT) / _MILLISECONDS
            for share in _NINES
        ],
        label=column.policy,
    )


def _plot_timeline(axes: Axes, column: PolicyFigures) -> None:
    axes.plot(
        [moment.second for moment in column.timeline],
        [moment.p99_ms for moment in column.timeline],
        label=column.policy,
    )
