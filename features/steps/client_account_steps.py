"""Steps of the account of what a process holds, without a network."""

import asyncio
from unittest.mock import patch

from behave import given, then, when

from zinniaturn.http1.byte_budget import ByteBudget
from zinniaturn.http1.client_account import ClientAccount, Door, Place
from zinniaturn.http1.connection_slots import ConnectionSlots
from zinniaturn.http1.connections import ConnectionPool
from zinniaturn.http1.exceptions import NoSlotError
from zinniaturn.http1.holdings import Holding
from zinniaturn.http1.intake import Intake
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.request_reader import RequestReader
from zinniaturn.http1.response_room import ResponseRoom
from zinniaturn.http1.sending import SendingProtocol
from zinniaturn.http1.turns import Turns

_KILOBYTE = 1024
_ADDRESS = ('192.0.2.1', 80)


class _Client:
    """A client that releases everything when it has to give way."""

    peer_host = '192.0.2.7'

    def __init__(
        self, context, kilobytes, progress_at=0, in_work=False, silent=False
    ):
        self.door = context.door
        self.holding = Holding(self, progress_at, is_unproven=silent)
        self.has_given_way = False
        self.is_admitted = self.door.enter(self.holding)
        self.in_work = in_work
        self.hold(kilobytes)

    def hold(self, kilobytes, moved_bytes=0):
        self.door.update(
            self.holding, kilobytes * _KILOBYTE, not self.in_work, moved_bytes
        )

    def give_way(self, at_once=False):
        self.has_given_way = True
        self.door.update(self.holding, 0, False)
        return True


class _Receiver:
    """A connection that keeps the statuses of its refusals."""

    is_closing = False

    def __init__(self):
        self.statuses = []

    def reject(self, status, detail):
        self.is_closing = True
        self.statuses.append(status)


@given('an account of {kilobytes:d} KB')
def set_account(context, kilobytes):
    set_account_with_limit(context, kilobytes, 10**6)


@given('an account of {kilobytes:d} KB with {most:d} connections for callers')
def set_account_with_limit(context, kilobytes, most):
    context.now = 0
    budget = ByteBudget(kilobytes * _KILOBYTE)
    account = ClientAccount(budget, lambda: context.now)
    budget.make_room = account.make_room
    context.account = account
    context.door = Door(account, Place.CALLERS, most)
    account.doors[Place.CALLERS] = context.door


@when(
    '{count:d} clients hold {large:d} KB each, stalled for {stalled:d} s, and '
    'one holds {small:d} KB since {seconds:d} s'
)
def hold_large_and_small(context, count, large, stalled, small, seconds):
    context.now = 10
    context.small = _Client(context, small, context.now - seconds)
    context.clients = [
        _Client(context, large, context.now - stalled) for _ in range(count)
    ]


@then('{count:d} large clients were refused and the small one was not')
def check_refused(context, count):
    refused = [client.has_given_way for client in context.clients]
    assert refused.count(True) == count, refused
    assert not context.small.has_given_way


@when(
    'a client with {steady:d} KB sends steadily and one with {drip:d} KB drips '
    'one byte a second for {seconds:d} s'
)
def send_and_drip(context, steady, drip, seconds):
    context.steady = _Client(context, steady)
    context.drip = _Client(context, drip)
    for second in range(seconds + 1):
        context.now = second
        context.steady.hold(steady, 10 * _KILOBYTE)
        context.drip.hold(drip, 1)


@when('a third client begins to hold {kilobytes:d} KB')
def begin_to_hold(context, kilobytes):
    context.third = _Client(context, kilobytes, context.now)


@then('the client that drips was refused')
def check_drip(context):
    assert context.drip.has_given_way
    assert not (context.steady.has_given_way or context.third.has_given_way)


@when(
    '{count:d} clients with {held:d} KB each have requests in work and one '
    'receives {received:d} KB'
)
def work_and_receive(context, count, held, received):
    context.clients = [
        _Client(context, held, in_work=True) for _ in range(count)
    ]
    context.receiving = _Client(context, received)


@then('only the client that receives was refused')
def check_receiving(context):
    assert context.receiving.has_given_way
    assert not any(client.has_given_way for client in context.clients)


@when('{count:d} clients hold from 1 to 999 KB')
def hold_any(context, count):
    context.now = 1
    for number in range(count):
        _Client(context, 1 + number % 999)


@then('choosing the first to go weighs at most {most:d} of them')
def check_cost(context, most):
    weighed = []
    with patch.object(Holding, 'weight', _counted_weight(weighed)):
        assert context.door.holdings.first_to_go(context.now) is not None
    assert 0 < len(weighed) <= most, len(weighed)


def _counted_weight(weighed):
    weight = Holding.weight

    def count(holding, now):
        weighed.append(holding)
        return weight(holding, now)

    return count


@when(
    '2 idle callers and 2 silent clients are connected for {seconds:d} s and '
    'another one connects'
)
def fill_port(context, seconds):
    context.idle = [_Client(context, 8) for _ in range(2)]
    for client in context.idle:
        client.hold(8, 2 * _KILOBYTE)
    context.silent = [_Client(context, 8, silent=True) for _ in range(2)]
    context.now = seconds
    context.new = _Client(context, 8, context.now, silent=True)


@then('a silent client was closed and the new one stays')
def check_silent(context):
    closed = [client.has_given_way for client in context.silent]
    assert closed.count(True) == 1, closed
    assert not any(client.has_given_way for client in context.idle)
    assert context.new.is_admitted


@when('{count:d} clients have requests in work and another one connects')
def fill_port_with_work(context, count):
    context.clients = [_Client(context, 8, in_work=True) for _ in range(count)]
    context.new = _Client(context, 8)


@then('the new one may not stay')
def check_refused_connection(context):
    assert not context.new.is_admitted
    assert not any(client.has_given_way for client in context.clients)


@when('servers begin to send responses of 600, 500, 300 and 20 KB')
def begin_responses(context):
    budget = context.account.budget
    context.rooms = {}
    for kilobytes in (600, 500, 300, 20):
        room = ResponseRoom(budget, SendingProtocol())
        room.reserve(kilobytes * _KILOBYTE)
        context.rooms[kilobytes] = room


@then('the responses of 500 and 300 KB wait and hold nothing')
def check_waiting(context):
    waiting = {size for size, room in context.rooms.items() if room.wanted}
    assert waiting == {500, 300}, waiting
    assert context.account.budget.held == 600 * _KILOBYTE


@when('the response of 600 KB is complete')
def complete_response(context):
    context.rooms[600].release()


@when('100 KB of the response of 500 KB have come, and it is given up')
def give_up_response(context):
    context.rooms[500].hold(100 * _KILOBYTE)
    context.rooms[500].release()


@when('all responses are complete')
def complete_all(context):
    for room in context.rooms.values():
        room.release()


@then('the account holds {kilobytes:d} KB')
def check_held(context, kilobytes):
    held = context.account.budget.held
    assert held == kilobytes * _KILOBYTE, held


@then('no response waits')
def check_none_waits(context):
    assert not any(room.wanted for room in context.rooms.values())
    assert context.account.budget.held == 800 * _KILOBYTE


@when('a reader with a limit of 100 bytes gets a head that declares 101')
def read_head(context):
    context.receiver = _Receiver()
    source = ConnectionPool()
    source.limits = CallerLimits(body_bytes=100)
    context.reader = RequestReader(context.loop, context.receiver, source)
    head = b'POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\nxxx'
    context.reader.feed(head)


@then('it refuses with 413 and holds nothing')
def check_head_refused(context):
    assert context.receiver.statuses == [413], context.receiver.statuses
    assert not context.reader.body.size


class _Owner(_Receiver):
    """A connection that answers each request at once."""

    def __init__(self):
        super().__init__()
        self.started = 0
        self.turns = Turns()

    def may_start(self):
        return True

    def dispatch(self, request, held_bytes):
        self.started += 1

    def settle(self, moved_bytes=0):
        """Do nothing."""


@when('a connection gets {count:d} requests that are answered at once')
def put_requests(context, count):
    context.owner = _Owner()
    source = ConnectionPool()
    source.limits = CallerLimits()
    reader = RequestReader(context.loop, context.owner, source)
    context.intake = Intake(context.owner, reader, context.owner.turns)
    context.intake.put(b'GET /metrics HTTP/1.1\r\n\r\n' * count)


@then('it starts one of them in each turn')
def check_turns(context):
    assert context.owner.started == 1, context.owner.started
    for expected in range(2, 10):
        context.intake.take_turn()
        assert context.owner.started == expected, context.owner.started


@given('1 slot for connections, in use')
def use_slot(context):
    context.slots = ConnectionSlots(1, bool)
    context.loop.run_until_complete(context.slots.acquire(1))


@when('one waits for it in vain, another waits, and the slot is given back')
def wait_for_slot(context):
    async def wait():
        try:
            await context.slots.acquire(0.01)
        except NoSlotError:
            second = asyncio.ensure_future(context.slots.acquire(10))
            await asyncio.sleep(0)
            context.slots.release()
            await second

    context.loop.run_until_complete(wait())


@then('the second has the slot, and none is lost')
def check_slot(context):
    assert context.slots.used == 1, context.slots
    assert context.slots.refused == 1, context.slots
    context.slots.release()
    assert not context.slots.used, context.slots


class _IdleConnection:
    def __init__(self, slots):
        self.slots = slots

    def close(self):
        self.slots.release()


@given(
    '1 slot for connections, in use by an idle connection, and addresses '
    'without any'
)
def use_slot_idly(context):
    pool = ConnectionPool(most=1)
    context.pool = pool
    context.loop.run_until_complete(pool.slots.acquire(1))
    for number in range(3):
        pool.idle['192.0.2.9', number] = []
    pool.idle[_ADDRESS] = [_IdleConnection(pool.slots)]


@when('a new connection needs a slot')
def need_slot(context):
    context.loop.run_until_complete(context.pool.slots.acquire(1))


@then('the idle connection is closed for it')
def check_idle_closed(context):
    assert not any(context.pool.idle.values())
    assert context.pool.slots.used == 1
