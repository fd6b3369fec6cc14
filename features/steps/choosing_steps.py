"""Steps for choosing the backend server."""

import random

from behave import given, step, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.support.builders import build_pool
from zinniaturn.choosing import (
    Completion,
    LoadReport,
    PoolState,
    RejectedError,
    Ticket,
    policy_named,
)
from zinniaturn.choosing.exceptions import UnknownPolicyError
from zinniaturn.choosing.policies import Oracle
from zinniaturn.clock import ManualClock

_USUAL_SECONDS = 0.05
_DEADLINE_SECONDS = 30


class DrivenPool:
    """A pool with a manual clock, and the tickets admitted to it."""

    def __init__(self, servers, policy=None, oracle=None):
        self.clock = ManualClock(100)
        self.random_source = random.Random(1)
        chosen = oracle or policy_named(policy, self.random_source)
        self.pool = PoolState(
            build_pool(servers=servers),
            chosen,
            self.clock,
            self.random_source,
        )
        self.tickets = []

    def server(self, number):
        return self.pool.servers[f'card-{number}']

    def admit(self, seconds=_DEADLINE_SECONDS):
        ticket = Ticket(self.clock.monotonic() + seconds)
        self.pool.admit(ticket)
        self.tickets.append(ticket)
        return ticket

    def end(self, ticket, succeeded=True):
        self.pool.release(
            ticket.server,
            Completion(succeeded, _USUAL_SECONDS),
        )

    def reply(self, number, busy, queued, seconds=_USUAL_SECONDS):
        """Send one response from a server with this load report."""
        state = self.server(number)
        state.in_flight += 1
        self.pool.release(
            state,
            Completion(True, seconds, LoadReport(busy, queued, 4)),
        )

    def fail(self, number, **fields):
        state = self.server(number)
        state.in_flight += 1
        self.pool.release(state, Completion(False, 0.001, **fields))

    def got(self, number):
        return sum(
            ticket.server is self.server(number) for ticket in self.tickets
        )


@given('a pool of {servers:d} servers with 4 slots under "{policy}"')
def open_pool(context, servers, policy):
    context.driven = DrivenPool(servers, policy)


@given(
    'a pool of {servers:d} servers with 4 slots under an oracle '
    'that knows server {best:d} to be best',
)
def open_oracle(context, servers, best):
    oracle = Oracle(
        lambda state: float(state.server.name != f'card-{best}'),
        random.Random(1),
    )
    context.driven = DrivenPool(servers, oracle=oracle)


@given('its queue limit is {limit:d}')
def set_queue_limit(context, limit):
    pool = context.driven.pool
    pool.update(build_pool(servers=len(pool.servers), queue_limit=limit))


@when('server {number:d} replies with {busy:d} busy and {queued:d} queued')
def reply(context, number, busy, queued):
    context.driven.reply(number, busy, queued)


@when(
    'server {number:d} replies {times:d} times with {busy:d} busy '
    'and {queued:d} queued',
)
def reply_often(context, number, times, busy, queued):
    for _ in range(times):
        context.driven.reply(number, busy, queued)


@when('server {number:d} takes {times:d} times as long as the others')
def make_straggler(context, number, times):
    for _ in range(20):
        for other, _ in enumerate(context.driven.pool.servers):
            slowdown = times if other == number else 1
            seconds = _USUAL_SECONDS * slowdown
            context.driven.reply(other, 0, 0, seconds)


@when('server {number:d} takes {seconds:d} seconds for each request')
def make_slow(context, number, seconds):
    for _ in range(200):
        context.driven.reply(number, 4, 1, seconds)


@step('{count:d} requests are admitted')
def admit(context, count):
    for _ in range(count):
        context.driven.admit()


@step('{count:d} requests are admitted and end')
def admit_and_end(context, count):
    for _ in range(count):
        ticket = context.driven.admit()
        context.driven.clock.advance(_USUAL_SECONDS)
        context.driven.end(ticket)


@step('{seconds:g} seconds pass in the pool')
def pass_seconds(context, seconds):
    context.driven.clock.advance(seconds)


@step('one of them ends')
def end_one(context):
    context.driven.end(context.driven.tickets[0])


@when('every server fails {times:d} times')
def fail_all(context, times):
    for _ in range(times):
        for number, _ in enumerate(context.driven.pool.servers):
            context.driven.fail(number)


@when('server {number:d} fails {times:d} times')
def fail(context, number, times):
    for _ in range(times):
        context.driven.fail(number)


@when('server {number:d} announces that it leaves')
def leave(context, number):
    context.driven.fail(number, leaving=True, cancelled=True)


@then('server {number:d} got {count:d} of them')
def check_got(context, number, count):
    assert context.driven.got(number) == count, context.driven.got(number)


@then('every server got {count:d} of them')
def check_even(context, count):
    for number, _ in enumerate(context.driven.pool.servers):
        assert context.driven.got(number) == count


@then('{count:d} request waits')
def check_waiting(context, count):
    assert len(context.driven.pool.waiting) == count


def _rejection(context, seconds=_DEADLINE_SECONDS):
    try:
        context.driven.admit(seconds)
    except RejectedError as error:
        return error
    raise AssertionError('the request was admitted')


@then('one more is rejected with "{code}" and a retry-after time')
def check_rejected(context, code):
    error = _rejection(context)
    assert error.code == code, error.code
    assert error.retry_after_seconds > 0


@then(
    'one more with {seconds:d} seconds left is rejected with "{code}" '
    'and a retry-after time',
)
def check_rejected_with_time_left(context, seconds, code):
    error = _rejection(context, seconds)
    assert error.code == code, error.code
    assert error.retry_after_seconds > 0


@then(
    '{count:d} rejections have at least {different:d} different retry-after '
    'times'
)
def check_jitter(context, count, different):
    times = {_rejection(context).retry_after_seconds for _ in range(count)}
    assert len(times) >= different


@then('no expired request got a server')
def check_expired(context):
    assert context.driven.tickets[-1].server is None
    assert not len(context.driven.pool.waiting)


@then('{count:d} servers are available')
def check_available(context, count):
    now = context.driven.clock.monotonic()
    states = context.driven.pool.servers.values()
    assert sum(state.is_available(now) for state in states) == count


@then('server {number:d} may have {count:d} requests in flight')
def check_limit(context, number, count):
    state = context.driven.server(number)
    now = context.driven.clock.monotonic()
    admitted = 0
    while state.has_room(now):
        state.in_flight += 1
        admitted += 1
    state.in_flight -= admitted
    assert admitted == count, admitted


@then('{count:d} more attempts are allowed and no other')
def check_retries(context, count):
    retry_budget = context.driven.pool.retry_budget
    allowed = 0
    while retry_budget.try_withdraw():
        allowed += 1
    assert allowed == count, allowed


@then('the policy "{name}" is unknown')
def check_unknown(context, name):
    try:
        policy_named(name, random.Random(1))
    except UnknownPolicyError as error:
        assert name in error.message
    else:
        raise AssertionError('the policy is known')


@then('after any order of admissions, ends and failures the counts are right')
def check_counts(context):
    steps = st.lists(
        st.tuples(
            st.sampled_from(['admit', 'end', 'fail', 'abandon', 'pass']),
            st.integers(0, 50),
        ),
        max_size=120,
    )

    @settings(max_examples=60, deadline=None, derandomize=True)
    @for_all(steps, st.sampled_from(['estimated-wait', 'hot-cold', 'random']))
    def check(actions, policy):
        driven = DrivenPool(3, policy)
        open_tickets = []
        for action, number in actions:
            _act(driven, open_tickets, action, number)
            assert _in_flight(driven) == _held(open_tickets)

    check()


def _in_flight(driven):
    return sum(state.in_flight for state in driven.pool.servers.values())


def _held(tickets):
    return sum(ticket.server is not None for ticket in tickets)


def _act(driven, open_tickets, action, number):
    if action == 'pass':
        driven.clock.advance(number)
    elif action == 'admit':
        _admit_if_allowed(driven, open_tickets)
    elif open_tickets:
        _close(driven, open_tickets.pop(number % len(open_tickets)), action)


def _admit_if_allowed(driven, open_tickets):
    try:
        open_tickets.append(driven.admit())
    except RejectedError:
        return


def _close(driven, ticket, action):
    if action == 'abandon' or ticket.server is None:
        driven.pool.abandon(ticket)
    else:
        driven.end(ticket, succeeded=action == 'end')


@then('a hedge of it finds no server and uses no retry budget')
def check_no_hedge(context):
    driven = context.driven
    withdrawn = driven.pool.retry_budget.withdrawn
    ticket = Ticket(driven.clock.monotonic() + 1, exclude={'card-0'})
    assert not driven.pool.hedge(ticket)
    assert driven.pool.retry_budget.withdrawn == withdrawn


@when(
    '{count:d} requests to server {number:d} are cancelled '
    'after {seconds:d} seconds',
)
def cancel(context, count, number, seconds):
    driven = context.driven
    state = driven.server(number)
    for _ in range(count):
        state.in_flight += 1
        driven.pool.release(
            state,
            Completion(False, seconds, cancelled=True),
        )


@when('{count:d} requests to server {number:d} time out')
def time_out(context, count, number):
    for _ in range(count):
        context.driven.fail(number, cancelled=True, timed_out=True)


@when('server {number:d} is known to accept requests again')
def note_accepting_again(context, number):
    context.driven.pool.note_accepting_again(f'card-{number}')
