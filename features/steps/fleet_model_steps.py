"""Steps of the model of the fleet state."""

from behave import given, then, when

from features.support.fleet_model import (
    FleetModel,
    run_random,
    violates_invariant,
)
from features.support.gateway import seeded_random


@given('VMs that take any heartbeat as a confirmation')
def confirm_anything(context):
    context.confirms_anything = True


@when(
    '{vms:d} VMs and {servers:d} servers are run through every sequence of '
    '{depth:d} events',
)
def run_every_sequence(context, vms, servers, depth):
    confirms_anything = getattr(context, 'confirms_anything', False)
    context.is_violated = violates_invariant(
        FleetModel(vms, servers, confirms_anything), depth
    )


@when(
    '{vms:d} VMs and {servers:d} servers are run through {count:d} random '
    'sequences of {events:d} events with seed {seed:d}',
)
def run_random_sequences(context, vms, servers, count, events, seed):
    context.models = run_random(
        lambda: FleetModel(vms, servers),
        count,
        events,
        seeded_random(seed),
    )
    context.is_violated = any(model.was_violated for model in context.models)


@then('no VM confirmed a state that misses a leaving server')
def check_not_violated(context):
    assert not context.is_violated


@then('some VM confirmed a state that misses a leaving server')
def check_violated(context):
    assert context.is_violated


@then('VMs learned of leaving servers from other VMs')
def check_learned_from_peers(context):
    assert sum(model.learned_from_peers for model in context.models) > 100
