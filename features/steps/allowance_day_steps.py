"""Steps for a tenant's allowance over a fleet in trouble."""

import random
from types import MappingProxyType

from behave import given, then, when

from zinniaturn.experiments.allowances.days import play_day
from zinniaturn.experiments.allowances.model import AllowanceModel
from zinniaturn.experiments.gossip_model import GossipModel
from zinniaturn.fleet.server_owners import owner_of
from zinniaturn.tenants import Tenant

_KEY = 'tenant gold'


@when(
    'a random day of {seconds:d} s of a tenant before {size:d} VMs is played '
    'with seed {seed:d}'
)
def play(context, seconds, size, seed):
    context.day = play_day(size, seed, seconds)


@then('no window of it has more requests than the bound')
def check_bound(context):
    assert context.day.asked
    assert not context.day.violations, context.day


@given(
    'a tenant with {rate:d} requests a second and a burst of {burst:d} before '
    '{size:d} VMs, with seed {seed:d}'
)
def start(context, rate, burst, size, seed):
    context.model = AllowanceModel(
        GossipModel(size, seed, 0),
        random.Random(seed),
        Tenant('gold', None, rate, burst),
    )
    context.model.fleet.run(1)


def _owner(model):
    vms = model.fleet.vms
    name = owner_of(vms[0].gossip.vms, _KEY)
    return next(vm for vm in vms if vm.name == name)


def _restart(model, vm):
    version = vm.gossip.vms.own_status.version + 1
    model.fleet.kill([vm])
    model.fleet.restart(vm, version)


def _stop_owner(model):
    owner = _owner(model)
    model.callers_vms = [vm for vm in model.fleet.vms if vm is not owner]
    model.fleet.stop(owner)


def _lose_owner(model):
    owner = _owner(model)
    model.callers_vms = [vm for vm in model.fleet.vms if vm is not owner]
    model.fleet.kill([owner])


def _bring_owner(model):
    owner = _owner(model)
    model.fleet.stop(owner)
    model.fleet.run(8)
    _restart(model, owner)
    model.fleet.run(0.4)


def _start_all(model):
    model.fleet.kill(model.fleet.vms)
    model.fleet.run(1)
    for vm in model.fleet.vms:
        _restart(model, vm)


_CHANGES = MappingProxyType(
    {
        'its owner has stopped': _stop_owner,
        'its owner has been lost': _lose_owner,
        'another owner has come': _bring_owner,
        'all VMs have started': _start_all,
    }
)


@when(
    'its callers send nothing for {seconds:d} s, and then {change} {ago:g} s '
    'ago'
)
def change_owner(context, seconds, change, ago):
    # An owner has a bucket only of an allowance that was asked for.
    for _ in range(3):
        context.model.arrive(context.model.callers_vms[0])
    context.model.fleet.run(seconds)
    _CHANGES[change](context.model)
    context.model.fleet.run(ago)


@when('{count:d} requests of the tenant arrive together')
def arrive(context, count):
    model = context.model
    model.refused.clear()
    for _ in range(count):
        model.arrive(model.random_source.choice(model.callers_vms))
    model.fleet.run(1)


@then('at most {most:d} of them are refused')
def check_refused(context, most):
    assert len(context.model.refused) <= most, context.model.refused


@when('its callers send {share:g} of its rate to all VMs for {seconds:d} s')
def send_evenly(context, share, seconds):
    model = context.model
    model.demand_per_second = share * model.tenant.requests_per_second
    model.fleet.run(seconds)


@then('at most {share:g} of its requests are refused')
def check_refused_share(context, share):
    model = context.model
    assert model.asked
    assert len(model.refused) <= share * len(model.asked), (
        len(model.refused),
        len(model.asked),
    )
