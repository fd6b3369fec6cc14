"""Defines the messages that an entry's admin address sends to the CLI."""

__all__ = ('Explanation', 'ExplanationLine', 'explain_subject')

import dataclasses

import msgspec

from zinniaturn.explain.decisions import Decision
from zinniaturn.explain.queries import Subject, select_decisions
from zinniaturn.explain.recorder import DecisionLog
from zinniaturn.explain.sentences import describe_decision


class ExplanationLine(msgspec.Struct):
    """
    One decision with its time, entry, class name and description.

    ``at`` is in seconds since the epoch; ``fields`` are the fields of the
    decision except ``at``.
    """

    at: float
    entry: str
    decision: str
    sentence: str
    fields: dict[str, str | int | float | bool]


class Explanation(msgspec.Struct):
    """The decisions of one entry on a subject, the oldest first."""

    entry: str
    lines: list[ExplanationLine]


def explain_subject(
    log: DecisionLog, entry: str, subject: Subject
) -> Explanation:
    """Return the decisions on a subject in the log of ``entry``."""
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
