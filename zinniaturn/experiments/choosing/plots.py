"""Plots of experiment results: latency by percentile and over time."""

__all__ = ('plot_results',)

from pathlib import Path

import matplotlib as mpl
from hdrh.histogram import HdrHistogram
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from zinniaturn.experiments.choosing.results import PolicyFigures, Results

_MICROSECONDS_PER_MILLISECOND = 1000
_PLOTTED_QUANTILES = (0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.998, 0.999)
_PERCENT = 100


def plot_results(results: Results, path: Path) -> None:
    """Plot the main service's latencies by policy as a PNG image."""
    mpl.use('Agg')
    figure, (by_percentile, over_time) = plt.subplots(1, 2, figsize=(12, 4.5))
    main_service_figures = [
        policy_figures
        for policy_figures in results.figures
        if policy_figures.service == results.main_service
    ]
    for policy_figures in main_service_figures:
        _plot_percentiles(by_percentile, policy_figures)
        _plot_timeline(over_time, policy_figures)
    by_percentile.set_xlabel('percentile')
    by_percentile.set_ylabel('latency from due time, ms')
    by_percentile.set_xscale('log')
    by_percentile.set_xticks(
        [1 / (1 - quantile) for quantile in _PLOTTED_QUANTILES],
        [f'{quantile * _PERCENT:g}' for quantile in _PLOTTED_QUANTILES],
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


def _plot_percentiles(axes: Axes, policy_figures: PolicyFigures) -> None:
    histogram = HdrHistogram.decode(policy_figures.histogram)
    axes.plot(
        [1 / (1 - quantile) for quantile in _PLOTTED_QUANTILES],
        [
            histogram.get_value_at_percentile(quantile * _PERCENT)
            / _MICROSECONDS_PER_MILLISECOND
            for quantile in _PLOTTED_QUANTILES
        ],
        label=policy_figures.policy,
    )


def _plot_timeline(axes: Axes, policy_figures: PolicyFigures) -> None:
    axes.plot(
        [moment.second for moment in policy_figures.timeline],
        [moment.p99_ms for moment in policy_figures.timeline],
        label=policy_figures.policy,
    )
