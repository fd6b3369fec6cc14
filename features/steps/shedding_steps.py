"""Steps of a pool whose servers shed a part of their requests."""

from behave import given, then, when

from features.support.shedding import SheddingPlay

_URGENT = 1
_OTHER = 2
_UNUSED_RETRIES = 60


@given(
    '{urgent:d} urgent and {other:d} other requests per second to servers '
    'that shed {percent:d} % of them'
)
def build_play(context, urgent, other, percent):
    context.play = SheddingPlay({_URGENT: urgent, _OTHER: other}, percent / 100)


@when('they arrive for {seconds:d} s')
def run_play(context, seconds):
    context.counts = context.play.run(seconds)
    context.seconds = seconds


def _check_windows(context, priority, percent):
    counts = context.counts[priority]
    shares = [
        counts.share((first, first + 1))
        for first in range(0, context.seconds, 2)
    ]
    assert min(shares) * 100 >= percent, shares


@then('at least {percent:d} % of the urgent ones are served in each 2 s')
def check_urgent(context, percent):
    _check_windows(context, _URGENT, percent)


@then('at least {percent:d} % of the others are served in each 2 s')
def check_others(context, percent):
    _check_windows(context, _OTHER, percent)


@then('the retry budget is used')
def check_used(context):
    budget = context.play.budget
    allowed = budget.allowed(context.seconds, 1)
    assert len(budget.withdrawn) >= allowed - _UNUSED_RETRIES
