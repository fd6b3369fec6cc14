"""Steps of cold servers, without a network."""

import json
import math

from behave import given, then, when

from features.support.gateway import (
    build_candidate,
    build_config,
    build_document,
    build_fleet_state,
    build_registered,
    build_snapshot,
)
from zinniaturn.admission.admission import ResponseKind
from zinniaturn.admission.grantor import (
    ColdTerms,
    PermitGrantor,
    PermitRequest,
)
from zinniaturn.admission.statement import ServerStatement
from zinniaturn.admission.table import AdmissionTable
from zinniaturn.admission.warm_up import warm_up_limit
from zinniaturn.clock import ManualClock
from zinniaturn.experiments.cold_days import (
    COLD_BOUNDS,
    find_cold_violation,
    play_cold_day,
)
from zinniaturn.experiments.limit_model import LimitModel
from zinniaturn.fleet.domain import RegisteredServer
from zinniaturn.fleet.tables import FleetPool, FleetTables
from zinniaturn.gateway.settings import FleetBounds
from zinniaturn.gateway.warm_up_limits import set_warm_up_limits
from zinniaturn.platform.documents import decode_document

_SERVER = 's-1'
_LOSS = 0.05
_READ_SECONDS = 0.5


@when(
    'a document says that cold servers of a pool take {said} requests a second'
)
def read_rate(context, said):
    config = build_config(warm_up_per_second=json.loads(said))
    document = build_document(raw=json.dumps(config).encode())
    context.pool = decode_document(document).pools['pool']


@then("the pool's servers take {rate:g} requests a second while cold")
def check_rate(context, rate):
    assert context.pool.warm_up_per_second == rate


@given('a pool whose cold servers take {rate:g} a second, and {bounds}')
def build_pool(context, rate, bounds):
    overage, slack = (0, 0) if bounds.startswith('no') else COLD_BOUNDS
    candidate = build_candidate()
    pool = FleetPool('pool', (), warm_up_per_second=rate)
    set_warm_up_limits(
        {'pool': {_SERVER: candidate}},
        FleetTables(pools={'pool': pool}),
        FleetBounds(warm_up_overage=overage, warm_up_slack=slack),
    )
    context.admission = candidate.admission


@when('a server of the pool says that it stays cold for {seconds:g} s')
def say_cold(context, seconds):
    now = context.admission.clock.monotonic()
    statement = ServerStatement(warm_up_seconds=seconds)
    context.admission.learn(statement, ResponseKind.PROBE, now)


@then('its admission needs {what}')
def check_permits(context, what):
    assert context.admission.is_limited == (what == 'permits')


@given('a server that takes {rate:g} requests a second while cold')
def build_admission(context, rate):
    context.clock = ManualClock(1000)
    context.admissions = AdmissionTable(context.clock)
    context.admission = context.admissions.of_process(_SERVER, 1)
    context.admission.warm_up = warm_up_limit(rate, *COLD_BOUNDS)


@when('its entry says {entry:g} s and its health response {health:g} s')
def tell_both(context, entry, health):
    context.admission.note_cold(context.clock.now + entry)
    say_cold(context, health)


@when('its health response says {seconds:g} s')
def tell_health(context, seconds):
    say_cold(context, seconds)


@when('its health response says nothing')
def tell_nothing(context):
    say_cold(context, 0)


@when('it states a limit of {limit:g}')
def state_limit(context, limit):
    now = context.clock.now
    statement = ServerStatement(limit=limit)
    context.admission.learn(statement, ResponseKind.REQUEST, now)


@when('this VM holds {count:d} permits')
def hold_permits(context, count):
    context.admission.add_permits(count, context.clock.now)


@when('its next process is listed with {seconds:g} s left')
def restart(context, seconds):
    warm_up = context.admission.warm_up
    context.admission = context.admissions.of_process(_SERVER, 2)
    context.admission.warm_up = warm_up
    context.admission.note_cold(context.clock.now + seconds)


@when("{seconds:g} s of the server's time pass")
def wait(context, seconds):
    context.clock.advance(seconds)


@then('it is limited to {rate:g} requests a second')
def check_limit(context, rate):
    assert context.admission.is_limited
    assert abs(context.admission.limit() - rate) < 0.01


@then('it is not limited')
def check_unlimited(context):
    assert not context.admission.is_limited


@then('no request may be sent to it')
def check_no_request(context):
    assert context.admission.take() is None


def _install(state, seconds, revision):
    registered = build_registered()
    registered = RegisteredServer(
        registered.server, registered.pool, registered.started_ms, seconds
    )
    now = state.clock.monotonic()
    return state.install(build_snapshot(revision, [registered]), now)


@when('a VM reads an entry with {left:g} s left, and again {later:g} s later')
def read_twice(context, left, later):
    context.state = build_fleet_state()
    _install(context.state, left, 1)
    context.state.clock.advance(later)
    assert not _install(context.state, left, 2).cooled


@then('it passes on that {left:g} s is left')
def check_left(context, left):
    now = context.state.clock.monotonic()
    assert context.state.warm_ups.seconds_left(_SERVER, now) == left


@when('a VM reads an entry with {first:g} s left, and then one with {then:g} s')
def read_cooling(context, first, then):
    context.state = build_fleet_state()
    _install(context.state, first, 1)
    context.change = _install(context.state, then, 2)


@then('the change names the server as cold')
def check_cooled(context):
    assert context.change.cooled == (_SERVER,)


@given(
    '{size:d} VMs before {servers:d} servers that take {rate:g} requests a '
    'second while cold, with seed {seed:d}'
)
def build_model(context, size, servers, rate, seed):
    context.rate = rate
    context.model = LimitModel(size, servers, seed, _LOSS)
    context.model.warm_up = warm_up_limit(rate, *COLD_BOUNDS)
    context.model.run(1)


@when('the servers restart and stay cold for {seconds:g} s')
def restart_servers(context, seconds):
    context.cold_from = context.model.fleet.clock.monotonic()
    context.warm_at = context.cold_from + seconds
    for server in context.model.servers:
        context.model.restart_server(server, seconds, _READ_SECONDS)


@when('no VM reaches another')
def cut_all(context):
    for number, vm in enumerate(context.model.fleet.vms):
        vm.side = number


@then('no server got more in any second than the bound allows')
def check_bound(context):
    for server in context.model.servers:
        assert server.arrivals, server.name
        assert find_cold_violation(server, context.rate) is None


@then('each server got its first request within {seconds:g} s')
def check_first(context, seconds):
    for server in context.model.servers:
        assert server.arrivals[0] <= context.cold_from + seconds


@then('the servers got at least {share:g} of the rate')
def check_use(context, share):
    seconds = context.warm_at - context.cold_from
    for server in context.model.servers:
        count = server.count(context.cold_from, context.warm_at)
        assert count >= share * context.rate * seconds, count


@then(
    'the server got at most {first:d}, {second:d} and {third:d} requests in '
    'the half seconds after it'
)
def check_surge(context, first, second, third):
    server = context.model.servers[0]
    for number, most in enumerate((first, second, third)):
        start = context.warm_at + number / 2
        count = server.count(start, start + 0.5)
        assert count <= most, (number, count)


@then('the server got more than {count:d} requests in the last second')
def check_full_share(context, count):
    now = context.model.fleet.clock.monotonic()
    assert context.model.servers[0].count(now - 1, now) > count


@when(
    'parts of {parts} of {size:d} VMs grant what they saved for {saved:g} s, '
    'and all they can for {seconds:g} s'
)
def grant_in_parts(context, parts, size, saved, seconds):
    sizes = [int(part) for part in parts.split(',')]
    context.parts = [count / size for count in sizes]
    context.granted_at = (0, saved, saved + seconds)


@then(
    'they grant at most {most:d} permits for a server that takes {rate:g} '
    'requests a second while cold'
)
def check_parts(context, most, rate):
    limit = warm_up_limit(rate, *COLD_BOUNDS)
    cold = ColdTerms(limit.per_second, limit.part_depth)
    granted = 0
    for part in context.parts:
        share = 1 if part > 0.5 else part
        grantor = PermitGrantor()
        for number, now in enumerate(context.granted_at):
            request = PermitRequest(
                'vm', number, _SERVER, 1, 50, math.inf, 0, cold=cold
            )
            granted += grantor.grant(request, share, now).count
    assert granted <= most, granted


@when('the random day {seed:d} of cold servers before {size:d} VMs is played')
def play_day(context, seed, size):
    context.violations = play_cold_day(size, seed)


@then('no server got more in any second of it than the bound allows')
def check_day(context):
    assert not context.violations, context.violations
