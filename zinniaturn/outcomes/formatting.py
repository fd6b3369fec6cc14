"""The outcome table in Markdown, as the documentation shows it."""

__all__ = ('format_outcomes',)

from zinniaturn.outcomes.table import OUTCOMES

_HEADING = (
    '| sent so far | what ended it | outcome | code '
    '| idempotent: try again | non-idempotent: try again |',
    '|---|---|---|---|---|---|',
)


def format_outcomes() -> str:
    """Return the outcome table in Markdown."""
    rows = [
        ' | '.join(
            (
                f'| {phase.name.lower().replace("_", "-")}',
                event.value,
                verdict.outcome.value,
                f'`{verdict.code}`',
                _yes_or_no(verdict.retry_idempotent),
                f'{_yes_or_no(verdict.retry_non_idempotent)} |',
            )
        )
        for (phase, event), verdict in OUTCOMES.items()
    ]
    return '\n'.join((*_HEADING, *rows))


def _yes_or_no(flag: bool) -> str:
    return 'yes' if flag else 'no'
