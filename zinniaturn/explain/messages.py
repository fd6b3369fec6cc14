"""Messages between an entry's admin address and ``zinniaturn explain``."""

__all__ = ('Explanation', 'ExplanationLine', 'explain_subject')

import dataclasses

import msgspec

from zinniaturn.explain.decisions import Decision
from zinniaturn.explain.queries import Subject, select_decisions
from zinniaturn.explain.recorder import DecisionLog
from zinniaturn.explain.sentences import describe_decision


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


def explain_subject(
    log: DecisionLog, entry: str, subject: Subject
) -> Explanation:
    """Return what the log of ``entry`` says on a subject."""
    return Explanation(
        entry,
        [
            _build_line(entry, decision)
            for decision in select_decisions(log, subject)
        ],
    )


def _build_line(entry: str, decision: Decision) -> ExplanationLine:
    fields = dataclasses.asdict(decision)
    fields.pop('at')
    return ExplanationLine(
        decision.at,
        entry,
        type(decision).__name__,
        describe_decision(decision),
        fields,
    )
