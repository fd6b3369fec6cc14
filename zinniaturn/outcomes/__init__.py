"""Outcomes of requests, and the error responses that report them."""

__all__ = (
    'Event',
    'Outcome',
    'Phase',
    'Refusal',
    'Verdict',
    'combine_verdicts',
    'refusal_for',
    'verdict_for',
)

from zinniaturn.outcomes.refusals import Refusal, refusal_for
from zinniaturn.outcomes.table import (
    Event,
    Outcome,
    Phase,
    Verdict,
    combine_verdicts,
    verdict_for,
)
