"""Messages between an entry's admin address and ``zinniaturn explain``."""

__all__ = ('Explanation', 'ExplanationLine', 'explain')

import dataclasses

import msgspec

from zinniaturn.explain.decisions import Decision
from zinniaturn.explain.queries import Subject, select
from zinniaturn.explain.recorder import DecisionLog
from zinniaturn.explain.sentences import sentence


class ExplanationLine(msgspec.Struct):
    """
    One decision: when, at which entry, of what kind and in words.

    ``at`` is in seconds since the epoch; ``fields`` are the decision's own.
    """

    at: float
    entry: str
    decision: str
    sentence: str
    fields: dict[str, str | int | float | bool]


class Explanation(msgspec.Struct):
    """What one entry knows on a subject."""

    entry: str
    lines: list[ExplanationLine]


def explain(log: DecisionLog, entry: str, subject: Subject) -> Explanation:
    """Return what the log of ``entry`` says on a subject."""
    return Explanation(
        entry,
        [_line(entry, decision) for decision in select(log, subject)],
    )


def _line(entry: str, decision: Decision) -> ExplanationLine:
    fields = dataclasses.asdict(decision)
    fields.pop('at')
    return ExplanationLine(
        decision.at,
        entry,
        type(decision).__name__,
        sentence(decision),
        fields,
    )
