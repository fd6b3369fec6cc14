"""Steps of the model of evacuations."""

from behave import given, then, when

from features.support.evacuation_model import EvacuationModel
from features.support.gateway import seeded_random


@given('VMs that take {what} for a confirmation')
def take_wrongly(context, what):
    context.fault = what


@when(
    "{following:d} VMs that follow evacuations and {others:d} that don't are "
    'run through {count:d} random sequences of {events:d} events with seed '
    '{seed:d}'
)
def run_model(context, following, others, count, events, seed):
    source = seeded_random(seed)
    fault = getattr(context, 'fault', '')
    context.models = [
        EvacuationModel(following, others, fault) for _ in range(count)
    ]
    for model in context.models:
        model.run(events, source)


def _violations(context):
    return sum(model.was_violated for model in context.models)


@then(
    'every VM held what the store did at the time as of which it knew it, or '
    'more'
)
def check_held(context):
    assert not _violations(context), _violations(context)


@then('VMs learned of evacuations from other VMs')
def check_learned(context):
    assert sum(model.learned for model in context.models) > 40


@then('some VM lacked an evacuation that it had to know')
def check_detected(context):
    assert _violations(context) > 10, _violations(context)
