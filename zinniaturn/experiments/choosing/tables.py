"""Formats results as Markdown tables and as figures by second."""

__all__ = ('format_comparison', 'format_results', 'format_timelines')

from zinniaturn.experiments.choosing.results import PolicyFigures, Results

_COMPARISON_COLUMNS = ('service', 'policy', 'before ms', 'after ms', 'ratio')
_RESULT_COLUMNS = (
    'service',
    'policy',
    'requests',
    'p50 ms',
    'p90 ms',
    'p99 ms',
    'p99.9 ms',
    'goodput/s',
    'unanswered',
    'p99 by round',
)


def format_results(results: Results) -> str:
    """Return a Markdown table with a row for each service and policy."""
    lines = [
        _format_row(_RESULT_COLUMNS),
        _format_row(['---' for _ in _RESULT_COLUMNS]),
    ]
    ordered = sorted(
        results.figures,
        key=lambda figures: (figures.service, figures.p99_ms),
    )
    lines.extend(
        _format_row(
            (
                figures.service,
                figures.policy,
                str(figures.requests),
                f'{figures.p50_ms:.1f}',
                f'{figures.p90_ms:.1f}',
                f'{figures.p99_ms:.1f}',
                f'{figures.p999_ms:.1f}',
                f'{figures.goodput:.0f}',
                str(figures.unanswered),
                ' '.join(f'{p99:.0f}' for p99 in figures.rounds_p99_ms),
            ),
        )
        for figures in ordered
    )
    lines.append(
        f'sent late, p99: {results.late_p99_ms:.1f} ms; lost {results.lost}; '
        f'doubled {results.doubled}; told not run but ran '
        f'{results.told_not_run_but_ran}; measuring requests '
        f'{results.measuring_total}, highest in a second over budget '
        f'{results.probe_peak_over_budget:.2f}',
    )
    return '\n'.join(lines)


def format_comparison(before: Results, after: Results) -> str:
    """
    Return a Markdown table that compares the p99 of two runs.

    If both runs include the oracle, read its rows first: their ratio shows how
    much the machine itself differed between the runs.
    """
    before_figures = {
        (figures.service, figures.policy): figures for figures in before.figures
    }
    lines = [
        _format_row(_COMPARISON_COLUMNS),
        _format_row(['---' for _ in _COMPARISON_COLUMNS]),
    ]
    for figures in after.figures:
        before_row = before_figures.get((figures.service, figures.policy))
        if before_row is not None:
            lines.append(_format_row(_comparison_cells(before_row, figures)))
    return '\n'.join(lines)


def format_timelines(results: Results) -> str:
    """Return the p99 and the successful responses per second, by policy."""
    lines = ['p99 ms (answers/s) by second of the slice:']
    lines.extend(
        f'{figures.policy}: {_format_timeline(figures)}'
        for figures in results.figures
        if figures.service == results.main_service
    )
    return '\n'.join(lines)


def _comparison_cells(before: PolicyFigures, after: PolicyFigures) -> list[str]:
    return [
        after.service,
        after.policy,
        f'{before.p99_ms:.1f}',
        f'{after.p99_ms:.1f}',
        f'{after.p99_ms / before.p99_ms:.3f}',
    ]


def _format_timeline(figures: PolicyFigures) -> str:
    return ' '.join(
        f'{moment.p99_ms:.0f}({moment.answered})' for moment in figures.timeline
    )


def _format_row(cells: tuple[str, ...] | list[str]) -> str:
    return f'| {" | ".join(cells)} |'
