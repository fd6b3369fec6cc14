"""Steps of the model of what VMs know."""

from behave import given, then, when

from features.support.fleet_model import FleetModel, play_all, play_random
from features.support.gateway import seeded


@given('VMs that take any heartbeat as a confirmation')
def confirm_anything(context):
    context.confirms_anything = True


@when(
    '{vms:d} VMs and {servers:d} servers are played in every order of '
    '{depth:d} events',
)
def play_every_order(context, vms, servers, depth):
    careless = getattr(context, 'confirms_anything', False)
    context.is_broken = play_all(FleetModel(vms, servers, careless), depth)


@when(
    '{vms:d} VMs and {servers:d} servers are played in {count:d} random '
    'orders of {events:d} events by seed {seed:d}',
)
def play_random_orders(context, vms, servers, count, events, seed):
    context.worlds = play_random(
        lambda: FleetModel(vms, servers),
        count,
        events,
        seeded(seed),
    )
    context.is_broken = any(world.was_broken for world in context.worlds)


@then('no VM held as confirmed what it did not know')
def check_unbroken(context):
    assert not context.is_broken


@then('some VM held as confirmed what it did not know')
def check_broken(context):
    assert context.is_broken


@then('leavings were learned through other VMs')
def check_taught(context):
    assert sum(world.taught for world in context.worlds) > 100
