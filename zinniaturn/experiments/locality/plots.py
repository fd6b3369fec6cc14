"""Plots of the figures without and with the decision when requests leave."""

__all__ = ('Rows', 'plot_rows')

from collections.abc import Mapping, Sequence
from pathlib import Path
from types import MappingProxyType

import matplotlib as mpl
from matplotlib import pyplot as plt

# The figures of each case, without and with the decision.
Rows = Mapping[str, Sequence[Mapping[str, float]]]

_PANELS = MappingProxyType(
    {
        'mean_ms': 'mean latency, ms',
        'p99_ms': 'p99 of latencies, ms',
        'refused': 'share refused',
        'bytes': 'share of bytes that leave',
    }
)
_BAR_HEIGHT = 0.4
_PLOTS_TOP = 0.95
_SIDES = ('without', 'with')


def plot_rows(rows: Rows, path: Path) -> None:
    """Plot the figures of each case as a PNG image."""
    mpl.use('Agg')
    figure, panels = plt.subplots(
        1, len(_PANELS), figsize=(14, 1 + 0.33 * len(rows)), sharey=True
    )
    positions = range(len(rows))
    for panel, (name, title) in zip(panels, _PANELS.items(), strict=True):
        for side, label in enumerate(_SIDES):
            panel.barh(
                [position + side * _BAR_HEIGHT for position in positions],
                [row[side][name] for row in rows.values()],
                _BAR_HEIGHT,
                label=f'{label} the decision',
            )
        panel.set_xlabel(title)
        panel.grid(axis='x', alpha=0.3)
    panels[0].set_yticks(
        [position + _BAR_HEIGHT / 2 for position in positions], list(rows)
    )
    panels[0].invert_yaxis()
    handles, labels = panels[0].get_legend_handles_labels()
    figure.legend(handles, labels, loc='upper center', ncols=len(labels))
    figure.tight_layout(rect=(0, 0, 1, _PLOTS_TOP))
    figure.savefig(path, dpi=90)
    plt.close(figure)
