"""Steps of admissions, permits and their owner."""

from behave import given, then, when

from zinniaturn.admission.admission import ResponseKind, ServerNotice
from zinniaturn.admission.grantor import PermitGrantor, PermitRequest
from zinniaturn.admission.statement import ServerStatement
from zinniaturn.admission.table import AdmissionTable
from zinniaturn.clock import ManualClock
from zinniaturn.experiments.gossip_model import GossipModel
from zinniaturn.placing.return_schedule import ReturnSchedule

_SERVER = 's-1'
_STARTED_MS = 7
_INTERVAL_SECONDS = 0.02
_PLAY_SECONDS = 10


@given('the admission of a server')
def build(context):
    context.clock = ManualClock(1000)
    context.admissions = AdmissionTable(context.clock)
    context.admission = context.admissions.of_process(_SERVER, _STARTED_MS)


def _learn(context, kind=ResponseKind.REQUEST, sent_ago=0.05, **said):
    context.clock.advance(0.1)
    context.admission.learn(
        ServerStatement(**said), kind, context.clock.now - sent_ago
    )


@given('it named a limit of {limit:g}')
def name_limit(context, limit):
    _learn(context, limit=limit)


@given('it said that it leaves')
def say_leaving(context):
    _learn(context, is_leaving=True)


@when('an answer that names nothing arrives')
def answer_nothing(context):
    _learn(context)


@when(
    'an answer that names nothing arrives to a request sent {seconds:g} s '
    'before the limit'
)
def answer_old(context, seconds):
    _learn(context, sent_ago=0.1 + seconds)


@when("a probe's response that names nothing arrives")
def probe_nothing(context):
    _learn(context, ResponseKind.PROBE)


@when('a rejection that names nothing arrives')
def reject_nothing(context):
    _learn(context, ResponseKind.REJECTION)


@when('a rejection asks for a pause of {seconds:g} s')
def ask_for_pause(context, seconds):
    context.admission.learn(
        ServerStatement(pause_seconds=seconds),
        ResponseKind.REJECTION,
        context.clock.now,
    )


@when('an answer with an unreadable limit arrives')
def answer_unreadable(context):
    _learn(context, unreadable=('limit',))


@when('{count:d} permits arrive that were requested {seconds:g} s ago')
def add_permits(context, count, seconds):
    context.admission.permits.add(count, context.clock.now - seconds)


@when('{seconds:g} s have passed')
@when('the VM is suspended for {seconds:g} s')
def let_time_pass(context, seconds):
    context.clock.advance(seconds)


def _hear(context, seconds, started_ms=_STARTED_MS, **said):
    context.admissions.adopt(
        ServerNotice(
            _SERVER,
            started_ms,
            said_at=context.clock.now - seconds,
            source='vm-2',
            **said,
        )
    )


@when('another VM heard {seconds:g} s ago that it names a limit of {limit:g}')
def hear_limit(context, seconds, limit):
    _hear(context, seconds, limit=limit)


@when('another VM heard {seconds:g} s ago that it names no limit')
def hear_no_limit(context, seconds):
    _hear(context, seconds)


@when('another VM heard {seconds:g} s ago that its earlier process leaves')
def hear_of_earlier(context, seconds):
    _hear(context, seconds, is_leaving=True)


@when('the server is registered with a later start')
def register_again(context):
    context.admission = context.admissions.of_process(_SERVER, _STARTED_MS + 1)


@when('the store lists no servers, and then this one again')
def lose_entry(context):
    context.admissions.retain(())
    context.admission = context.admissions.of_process(_SERVER, _STARTED_MS)


@when("other VMs tell of {count:d} servers that the store doesn't list")
def tell_of_unlisted(context, count):
    for number in range(count):
        context.admissions.adopt(
            ServerNotice(f'x-{number}', 1, 2, said_at=context.clock.now)
        )


@then('at most {most:d} admissions are held')
def check_bounded(context, most):
    table = context.admissions
    assert len(table.admissions) <= most
    assert len(table.active) <= most


@then('a request may be sent')
def check_sendable(context):
    assert context.admission.withholding() is None
    assert context.admission.take() is not None


@then('no request may be sent, because of "{reason}"')
def check_withheld(context, reason):
    assert context.admission.withholding().value == reason
    assert context.admission.take() is None


@then('exactly {count:d} requests may be sent')
def check_count(context, count):
    assert all(context.admission.take() for _ in range(count))
    assert context.admission.take() is None


def _request(context, vm, sequence, limit, said_ago=1.0):
    request = PermitRequest(
        vm,
        sequence,
        _SERVER,
        _STARTED_MS,
        1,
        limit,
        context.clock.now - said_ago,
    )
    return context.grantor.grant(request, 1, context.clock.now)


def _play(context, asks):
    """Let VMs ask in each interval; ``asks`` are their arguments."""
    context.grantor = PermitGrantor()
    context.granted_at = []
    for number in range(round(_PLAY_SECONDS / _INTERVAL_SECONDS)):
        for vm, limit, said_ago in asks:
            grant = _request(context, vm, number, limit, said_ago)
            context.granted_at.extend(
                context.clock.now for _ in range(grant.count)
            )
        context.clock.advance(_INTERVAL_SECONDS)


@when(
    '{vms:d} VMs ask an owner 50 times a second each for 10 s, with a limit '
    'of {limit:g}'
)
def ask_often(context, vms, limit):
    _play(context, [(f'vm-{number}', limit, 1) for number in range(vms)])


@when(
    'VMs ask an owner with limits of {new:g} heard {new_ago:g} s ago and '
    '{old:g} heard {old_ago:g} s ago'
)
def ask_with_limits(context, new, new_ago, old, old_ago):
    _play(context, [('vm-1', new, new_ago), ('vm-2', old, old_ago)])


@then('it granted between {least:d} and {most:d} permits')
@then('it granted between {least:d} and {most:d} permits in 10 s')
def check_granted(context, least, most):
    assert least <= len(context.granted_at) <= most, len(context.granted_at)


@then('in no second more than {most:d}')
def check_rate(context, most):
    times = context.granted_at
    for start in times:
        assert sum(start <= time < start + 1 for time in times) <= most


@when('a VM repeats a request for permits {count:d} times')
def repeat_request(context, count):
    context.grantor = PermitGrantor()
    _request(context, 'vm-2', 1, 10)
    context.clock.advance(0.15)
    context.grants = []
    for _ in range(count):
        context.grants.append(_request(context, 'vm-1', 5, 10))
        context.clock.advance(0.03)


@then('it got the same reply each time and the owner granted {count:d} permit')
def check_repeated(context, count):
    assert {grant.count for grant in context.grants} == {count}
    assert len({id(grant) for grant in context.grants}) == 1


def _bar(context, count, priority, per_second):
    return [
        context.schedule.seconds(per_second, priority, context.clock.now)
        for _ in range(count)
    ]


@when(
    '{many:d} callers of priority 1 and {few:d} of priority 0 are barred from '
    'a pool that takes {rate:d} a second'
)
def bar_two_kinds(context, many, few, rate):
    context.schedule = ReturnSchedule()
    urgent = _bar(context, few, 0, rate)
    context.returns = {0: urgent, 1: _bar(context, many, 1, rate)}


@when(
    '{many:d} callers of priority 1 are barred from a pool that takes {rate:d} '
    'a second'
)
def bar_many(context, many, rate):
    context.returns = {1: _bar(context, many, 1, rate)}


@then('those of priority {priority:d} return after {first:g} to {last:g} s')
def check_returns(context, priority, first, last):
    returns = context.returns[priority]
    assert abs(min(returns) - first) < 0.01, returns
    assert abs(max(returns) - last) < 0.01, returns


@then('none returns later than after {seconds:g} s')
def check_latest(context, seconds):
    assert max(context.returns[1]) <= seconds


@then('a VM requests no permit for it')
def check_no_request(context):
    vm = GossipModel(2, 1).vms[0]
    assert not vm.gossip.permits.request(context.admission)
    assert not vm.datagrams_sent
