"""Steps of the model of the fleet state."""

from behave import given, then, when

from features.support.drill_model import DrillModel
from features.support.fleet_model import (
    FleetModel,
    run_random,
    violates_invariant,
)
from features.support.gateway import seeded_random


def _build(context, vms, servers):
    if getattr(context, 'goes_back', False):
        return DrillModel(vms, servers)
    confirms_anything = getattr(context, 'confirms_anything', False)
    return FleetModel(vms, servers, confirms_anything)


@given('VMs that take any heartbeat as a confirmation')
def confirm_anything(context):
    context.confirms_anything = True


@given('a store that goes back, and writes that are made again')
def let_store_go_back(context):
    context.goes_back = True


@when(
    '{vms:d} VMs and {servers:d} servers are run through every sequence of '
    '{depth:d} events',
)
def run_every_sequence(context, vms, servers, depth):
    context.is_violated = violates_invariant(
        _build(context, vms, servers), depth
    )


@when(
    '{vms:d} VMs and {servers:d} servers are run through {count:d} random '
    'sequences of {events:d} events with seed {seed:d}',
)
def run_random_sequences(context, vms, servers, count, events, seed):
    context.models = run_random(
        lambda: _build(context, vms, servers),
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
