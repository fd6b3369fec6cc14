"""Steps of servers' limits in virtual time."""

from functools import partial

from behave import given, then, when

from zinniaturn.experiments.decision_cost import measure_costs
from zinniaturn.experiments.limit_days import find_violation, play_day
from zinniaturn.experiments.limit_model import LimitModel

_LOSS = 0.05
_WARM_UP_SECONDS = 0.5
_TURN_SECONDS = 0.8
_SETTLED_SECONDS = 3


@given(
    '{size:d} VMs before {servers:d} servers that each name a limit of '
    '{limit:g}, with seed {seed:d}'
)
def build_model(context, size, servers, limit, seed):
    context.model = LimitModel(size, servers, seed, _LOSS)
    context.model.run(_WARM_UP_SECONDS)
    name_limits(context, limit)


@when('the servers name a limit of {limit:g}')
def name_limits(context, limit):
    for server in context.model.servers:
        context.model.name_limit(server, limit)


@when('the servers name no limit')
def end_limits(context):
    for server in context.model.servers:
        context.model.name_limit(server, None)


def _send(context, vms, rate, seconds):
    model = context.model
    model.set_rates(vms, rate)
    context.from_time = model.fleet.clock.monotonic()
    context.seconds = seconds
    model.run(seconds)


@when('callers send {rate:d} requests a second for {seconds:g} s')
def send_everywhere(context, rate, seconds):
    _send(context, context.model.fleet.vms, rate, seconds)


@when(
    'callers send {rate:d} requests a second to the first {count:d} VMs for '
    '{seconds:g} s'
)
def send_to_first(context, rate, count, seconds):
    _send(context, context.model.fleet.vms[:count], rate, seconds)


@when(
    'callers send {rate:d} requests a second to the last {count:d} VMs for '
    '{seconds:g} s'
)
def send_to_last(context, rate, count, seconds):
    _send(context, context.model.fleet.vms[-count:], rate, seconds)


def _in_turn(context, begin, end=None, seconds=0):
    """Schedule a trouble for one VM after the other."""
    fleet = context.model.fleet
    for number, vm in enumerate(fleet.vms):
        at = number * _TURN_SECONDS
        fleet.schedule(at, partial(begin, vm))
        if end is not None:
            fleet.schedule(at + seconds, partial(end, vm))


@when('each VM is paused for {seconds:g} s in turn')
def pause_in_turn(context, seconds):
    _in_turn(context, lambda vm: context.model.fleet.pause(vm, seconds))


@when('all VMs are paused for {seconds:g} s')
def pause_all(context, seconds):
    for vm in context.model.fleet.vms:
        context.model.fleet.pause(vm, seconds)


def _start_again(context):
    def start(vm):
        version = vm.gossip.vms.own_status.version + 1
        context.model.fleet.restart(vm, version)

    return start


@when('each VM is killed and started again in turn')
def kill_in_turn(context):
    fleet = context.model.fleet
    _in_turn(context, lambda vm: fleet.kill([vm]), _start_again(context), 0.6)


@when('each VM stops gracefully and starts again in turn')
def stop_in_turn(context):
    fleet = context.model.fleet

    def start(vm):
        fleet.kill([vm])
        _start_again(context)(vm)

    _in_turn(context, fleet.stop, start, 2)


def _move(side):
    def move(vm):
        vm.side = side

    return move


@when('each VM is cut off for {seconds:g} s in turn')
def cut_off_in_turn(context, seconds):
    _in_turn(context, _move(1), _move(0), seconds)


@when('the fleet falls into two halves')
def cut_in_halves(context):
    for vm in context.model.fleet.vms[::2]:
        vm.side = 1


@when('half of the VMs are killed')
def kill_half(context):
    fleet = context.model.fleet
    fleet.kill(fleet.vms[::2])


@then('no server got more than the rule allows')
def check_rule(context):
    for server in context.model.servers:
        violation = find_violation(server)
        assert violation is None, (server.name, violation)


def _use(context, server, seconds):
    now = context.model.fleet.clock.monotonic()
    return server.count(now - seconds, now) / seconds / server.limit


@then('the servers got at least {share:g} of their limits')
def check_settled_use(context, share):
    check_use(context, share, context.seconds - _SETTLED_SECONDS)


@then(
    'the servers got at least {share:g} of their limits in the last '
    '{seconds:g} s'
)
def check_use(context, share, seconds):
    servers = context.model.servers
    used = sum(_use(context, server, seconds) for server in servers)
    assert used / len(servers) >= share, used / len(servers)


@then('each server got more than {rate:d} requests a second in the last second')
def check_unlimited(context, rate):
    now = context.model.fleet.clock.monotonic()
    for server in context.model.servers:
        assert server.count(now - 1, now) > rate, server.name


@then('the server got at most {most:d} requests in the last {seconds:g} s')
def check_few(context, most, seconds):
    now = context.model.fleet.clock.monotonic()
    server = context.model.servers[0]
    assert server.count(now - seconds, now) <= most


@when('the costs of the decisions are measured')
def measure(context):
    context.costs = measure_costs()


@then(
    'there is a positive figure for {few_vms:d} to {many_vms:d} VMs and '
    '{few:d} to {many:d} servers'
)
def check_costs(context, few_vms, many_vms, few, many):
    counts = [tuple(cost.microseconds) for cost in context.costs]
    assert {(sizes[0], sizes[-1]) for sizes in counts} == {
        (few_vms, many_vms),
        (few, many),
    }
    for cost in context.costs:
        assert min(cost.microseconds.values()) > 0, cost


@when('the random day {seed:d} of {size:d} VMs is played')
def play_random_day(context, seed, size):
    context.violations = play_day(size, seed)


@then('no server got more on it than the rule allows')
def check_random_day(context):
    assert not context.violations, context.violations
