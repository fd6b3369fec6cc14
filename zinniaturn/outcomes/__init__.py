"""Outcomes of requests, and the error responses that report them."""

__all__ = (
    'Event',
    'Outcome',
    'Phase',
    'Rejection',
    'Verdict',
    'combine_verdicts',
    'rejection_for',
    'verdict_for',
)

from zinniaturn.outcomes.rejections import Rejection, rejection_for
from zinniaturn.outcomes.table import (
    Event,
    Outcome,
    Phase,
    Verdict,
    combine_verdicts,
    verdict_for,
)
