"""Steps of requests that one VM passes on to another."""

import asyncio

from behave import given, then, when

from features.support.cut_scenario import (
    assert_most_served,
    counted_at,
    ended_rows,
    gateway_at,
    run_until_done,
    send_together,
    traffic_of,
)
from features.support.cut_traffic import (
    NOT_RUN_STATUSES,
)
from features.support.gateway import send_request
from features.support.limit_rule import most_in_window
from zinniaturn.experiments.limit_days import allowed_in_window
from zinniaturn.fleet.status_queue import StatusQueue
from zinniaturn.reach.witnesses import Witnesses
from zinniaturn.relay.messages import (
    RELAY_VERSION,
    RelayRequest,
    encode_message,
)

_SUCCESS = 200
_TOLD_SECONDS = 0.5


@given('the servers name a limit of {limit:d}')
def set_limits(context, limit):
    for server in context.platform.servers:
        server.limit = str(limit).encode()


@given('each gateway has heard of the limits')
def hear_limits(context):
    traffic = traffic_of(context)

    def knows(gateway):
        return len(gateway.state.admissions.active) == len(
            context.platform.servers
        )

    async def ask():
        while not all(map(knows, context.platform.gateways)):
            await traffic.send(1)

    run_until_done(context, asyncio.wait_for(ask(), 5))
    context.told_at = context.loop.time()


@when(
    'the connections between the VMs break {seconds:g} s after gateway '
    '{number:d} got {posts:d} posts'
)
def break_relays(context, seconds, number, posts):
    async def run():
        sends = await send_together(context, number, 0, posts)
        await asyncio.sleep(seconds)
        for gateway in context.platform.gateways:
            peer_listener = gateway.listeners[0]
            for connection in list(peer_listener.connections):
                connection.transport.abort()
        context.counted = await sends

    run_until_done(context, run())


@then('no post of the last second was told not to have run')
def check_unknown(context):
    assert context.counted
    for one in context.counted:
        assert one.status not in NOT_RUN_STATUSES, one
        assert one.status != _SUCCESS, one


@when(
    'gateway {number:d} takes gateway {other:d} for a VM that servers respond '
    'to'
)
def mislead(context, number, other):
    reach = gateway_at(context, number).state.reach
    reach.witnesses = _MisledWitnesses(
        reach.witnesses.pools, gateway_at(context, other).vms.own.name
    )


class _MisledWitnesses(Witnesses):
    """Names a wrong VM as long as ``wrong`` is set."""

    def __init__(self, pools, wrong):
        super().__init__(pools)
        self.wrong = wrong

    def of(self, pool, since, now):
        if self.wrong:
            return [self.wrong]
        return super().of(pool, since, now)


@then(
    'a read at gateway {number:d} is served, by way of gateway {other:d} only '
    'in the end'
)
def check_two_relays(context, number, other):
    first = run_until_done(context, traffic_of(context).send(number))
    assert not first.is_served, 'the misled gateway was served by the wrong VM'
    assert first.status in NOT_RUN_STATUSES, first
    gateway_at(context, number).state.reach.witnesses.wrong = ''
    second = run_until_done(context, traffic_of(context).send(number))
    assert second.is_served, second
    rows = ended_rows(context, number, second.request_id)
    assert rows[0]['passed_to'] == [gateway_at(context, other).vms.own.name], (
        rows
    )


@then('gateway {number:d} has passed on nothing that it took from another VM')
def check_no_second_hop(context, number):
    rows = gateway_at(context, number).event_log.rows
    relayed = [row for row in rows if row.get('taken_from')]
    assert not any(row['passed_to'] for row in relayed), relayed


@when('gateway {number:d} takes no more for others')
def fill_intake(context, number):
    _peer_service(context, number).relays.intake.most = 0


def _peer_service(context, number):
    return gateway_at(context, number).listeners[0].service


@when('gateway {number:d} has woken from a pause a moment ago')
def wake_up(context, number):
    guard = gateway_at(context, number).peers.pause_guard
    guard.resumed_at = float('inf')


@when('gateway {number:d} holds older tables than gateway 1')
def hold_older_tables(context, number):
    document = gateway_at(context, number).fleet_state.document
    object.__setattr__(document, 'revision', document.revision - 1)


@then(
    'two thirds of the counted tries at gateway {number:d} are served or more, '
    'none by way of gateway {other:d}'
)
def check_other_way(context, number, other):
    assert_most_served(context, number)
    for one in counted_at(context, number):
        servers = ended_rows(context, other, one.request_id)
        assert not servers, servers


@then(
    'no server got more in any 4 s than the rule allows for a limit of '
    '{limit:d}'
)
def check_limit(context, limit):
    for server in context.platform.servers:
        count = most_in_window(
            server.request_times, context.told_at + _TOLD_SECONDS
        )
        assert 0 < count <= allowed_in_window(limit), count


class _SilentQueue(StatusQueue):
    """Passes nothing on."""

    def take(self, most):
        return []


@when(
    'server "{name}" says that it leaves, and gateway {number:d} gets reads '
    'until a response says so'
)
def leave_by_response(context, name, number):
    server = next(
        server for server in context.platform.servers if server.name == name
    )
    for gateway in context.platform.gateways:
        gateway.peers.sender.notice_queue = _SilentQueue()
    server.is_leaving = True
    server.states_in_probes = False

    async def read():
        while True:
            one = await traffic_of(context).send(number)
            if one.fields.get('server-leaving') == '1':
                return

    run_until_done(context, asyncio.wait_for(read(), 5))


@then('gateway {number:d} takes "{name}" for leaving')
def check_leaving(context, number, name):
    admissions = gateway_at(context, number).state.admissions
    assert admissions.active[name].notice.is_leaving
    assert not admissions.active[name].notice.source, 'it heard it by gossip'


@then('all VMs together have counted each request once')
def check_counted(context):
    counted = sum(
        len(gateway.state.retry_budget('pool').requests)
        for gateway in context.platform.gateways
    )
    assert counted == len(context.traffic.tries)


@then(
    'the logs tell that gateway {number:d} passed a counted try on and that '
    'gateway {other:d} took it'
)
def check_explained(context, number, other):
    names = [gateway_at(context, one).vms.own.name for one in (number, other)]
    for one in counted_at(context, number):
        here = ended_rows(context, number, one.request_id)
        there = ended_rows(context, other, one.request_id)
        assert [row['passed_to'] for row in here] == [[names[1]]], here
        assert [row['taken_from'] for row in there] == [names[0]], there


@when(
    'a client with another address passes a post on to gateway {number:d} in '
    'the name of "{name}"'
)
def pass_on_as_stranger(context, number, name):
    async def send():
        gateway = gateway_at(context, number)
        host, port = gateway.vms.own.exchange
        context.response = await _pass_on_to((host, port + 1), gateway, name)

    run_until_done(context, send())


async def _pass_on_to(address, gateway, name):
    message = RelayRequest(
        RELAY_VERSION,
        name,
        gateway.state.tables_revision(),
        'pool',
        1000,
        0,
        0,
        (),
        b'POST',
        b'/posts/1',
        ((b'Host', b'shop.example'), (b'X-Attempt-Id', b'stranger')),
        b'',
    )
    body = encode_message(message)
    head = (
        f'POST /relay HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return await send_request(address, head.encode() + body)


@then('it gets {status:d}, and no server has run anything')
def check_stranger(context, status):
    assert context.response[0] == status, context.response
    assert not any(server.arrivals for server in context.platform.servers)
