"""Defines the results of the demo and formats them as a table."""

__all__ = ('DemoSummary', 'format_summary')

import msgspec

_LABELS = (
    ('requests', 'requests'),
    ('answered', 'answered'),
    ('not_run', 'refused, not run'),
    ('unknown', 'unknown'),
    ('lost', 'lost'),
    ('doubled', 'doubled'),
    ('p50_ms', 'p50 (ms)'),
    ('p99_ms', 'p99 (ms)'),
    ('p999_ms', 'p99.9 (ms)'),
)


class DemoSummary(msgspec.Struct):
    """
    Request counts, latencies in milliseconds and revisions by entry.

    ``not_run`` and ``unknown`` count unsuccessful attempts by their outcome,
    which the callers retry. ``lost`` counts requests that never got a
    successful response, ``doubled`` postings that ran more than once.
    """

    requests: int
    answered: int
    not_run: int
    unknown: int
    lost: int
    doubled: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    revisions: dict[str, int]

    def is_clean(self) -> bool:
        """Return whether no request was lost or doubled."""
        return not self.lost and not self.doubled


def format_summary(summary: DemoSummary) -> str:
    """Return the summary as a text table."""
    rows = [
        f'{label:<20}{getattr(summary, field):>12}' for field, label in _LABELS
    ]
    rows.extend(
        f'revision on {name:<8}{revision:>12}'
        for name, revision in summary.revisions.items()
    )
    return '\n'.join(rows)
