"""Tables of results for terminals and pages."""

__all__ = ('table_of',)

from zinniaturn.experiments.choosing.results import Results

_HEAD = (
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


def table_of(results: Results) -> str:
    """Return a Markdown table of every policy and service."""
    lines = [_row(_HEAD), _row(['---' for _ in _HEAD])]
    ordered = sorted(
        results.figures,
        key=lambda figures: (figures.service, figures.p99_ms),
    )
    lines.extend(
        _row(
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
    return '\n'.join(lines)


def _row(cells: tuple[str, ...] | list[str]) -> str:
    return f'| {" | ".join(cells)} |'
