"""Steps of at-most-once execution with idempotency keys."""

import asyncio
import itertools
import random
import uuid

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as run_settings
from hypothesis import strategies

from features.support.byte_caller import ByteCaller
from features.support.requests import head, receive
from features.support.small_fleet import SmallFleet
from features.support.stepped_server import (
    Close,
    ReadBody,
    Send,
    answer_with_token,
    whole_answer,
)
from zinniaturn.caller import Caller, CallOptions, call_once
from zinniaturn.clock import ManualClock
from zinniaturn.experiments.processes import free_port
from zinniaturn.idempotency import KeyIssuer, KeyState, KeyTable
from zinniaturn.idempotency.exceptions import KeyTableFullError
from zinniaturn.idempotency.records import KeyLimits
from zinniaturn.standins.faults import CutAnswer, DelayAnswer

SECRET = 'a secret that all entries share'
_SHED = whole_answer(b'', status=503, extra='Server-Shed: not-run\r\n')


@given('2 entries that share a key secret, in front of 2 scripted servers')
def start_fleet(context):
    context.fleet = SmallFleet(servers=2, entries=2, key_secret=SECRET)
    context.loop.run_until_complete(context.fleet.start())
    context.closers.append(context.fleet.stop)
    context.answers = []


def _runner(context, number):
    entry = context.fleet.entries[number]
    return entry.frontend.runner


@given('an issued key of entry {number:d}')
def issue_key(context, number):
    context.key = _runner(context, number).issue(1)[0]


@given("a caller's own key of entry {number:d}")
def make_own_key(context, number):
    context.key = f'own-{uuid.uuid4().hex}'


@given('a key issued by an entry that no longer runs')
def make_key_of_stopped_entry(context):
    issuer = KeyIssuer(SECRET.encode(), ManualClock())
    context.key = issuer.issue('127.0.0.1', free_port())


@given('a key issued by an earlier process at entry {number:d}')
def make_key_of_earlier_process(context, number):
    issuer = KeyIssuer(SECRET.encode(), ManualClock())
    port = context.fleet.entries[number].port
    context.key = issuer.issue('127.0.0.1', port)


@given('the key "{key}"')
def set_key(context, key):
    context.key = key


@given('the next answer is lost with its connection')
def lose_next_answer(context):
    context.fleet.faults = [CutAnswer(0)]


@given('the next {count:d} answers are lost with their connections')
def lose_next_answers(context, count):
    context.fleet.faults = [CutAnswer(0) for _ in range(count)]


def _set_script(context, steps):
    def script(request):
        return steps

    for backend in context.fleet.backends:
        backend.script = script


@given('every scripted server sheds requests')
def shed(context):
    _set_script(context, [Send(_SHED), Close()])


@given('every server answers with {count:d} bytes')
def answer_large(context, count):
    answer = whole_answer(b'x' * count)
    _set_script(context, [ReadBody(), Send(answer)])


@when('the scripted servers accept requests again')
def accept_requests(context):
    for backend in context.fleet.backends:
        backend.script = answer_with_token


@given('the entry store is unavailable')
def stop_store(context):
    context.fleet.store_stand_in.faults.is_out = True


@when('the entry store is available again')
def start_store(context):
    context.fleet.store_stand_in.faults.is_out = False


@given('the entry store loses the replies to its writes')
def lose_replies(context):
    context.fleet.store_stand_in.faults.lose_write_replies = True


@given('entry {number:d} stores at most {count:d} key')
def limit_table(context, number, count):
    table = _runner(context, number).table
    table.limits = KeyLimits(table.limits.window_seconds, count, 1000)


@when('{minutes:d} minutes pass at entry {number:d}')
def pass_time(context, minutes, number):
    runner = _runner(context, number)
    now = runner.issuer.clock.monotonic()
    clock = ManualClock(now + minutes * 60)
    runner.state.clock = clock


async def _send(context, number, path='/postings', body=b'hello'):
    caller = ByteCaller()
    await caller.open(context.fleet.entries[number].port)
    fields = {'Idempotency_Key': context.key, 'Content_Length': len(body)}
    caller.send(head('POST', path, 'one', **fields))
    caller.send(body)
    answer = await receive(caller)
    await caller.close()
    return answer


@when('the posting is sent to entry {number:d}')
def send_posting(context, number):
    context.answer = context.loop.run_until_complete(_send(context, number))


@when('the posting is sent to entry {number:d} with another body')
def send_other_body(context, number):
    context.answer = context.loop.run_until_complete(
        _send(context, number, body=b'other'),
    )


@when('a request for "{path}" is sent to entry {number:d}')
def send_elsewhere(context, path, number):
    context.answer = context.loop.run_until_complete(
        _send(context, number, path),
    )


@when('the posting is sent to entry {number:d} until a server answers it')
def send_until_answered(context, number):
    async def repeat():
        for _ in range(20):
            answer = await _send(context, number)
            if not answer.outcome:
                return
        raise AssertionError(f'no answer but {answer}')

    context.loop.run_until_complete(repeat())


@when('the posting is sent to entry {number:d} and its caller disconnects')
def send_and_disconnect(context, number):
    async def run():
        fleet = context.fleet
        fleet.faults = [DelayAnswer(0.2)]
        caller = ByteCaller()
        await caller.open(fleet.entries[number].port)
        fields = {'Idempotency_Key': context.key, 'Content_Length': 5}
        caller.send(head('POST', '/postings', 'one', **fields))
        caller.send(b'hello')
        while not fleet.executions('one'):
            await asyncio.sleep(0.01)
        await caller.close()

    context.loop.run_until_complete(run())


@when('the posting is sent {count:d} times to each entry at the same time')
def send_at_once(context, count):
    async def run():
        entries = range(len(context.fleet.entries))
        context.answers = await asyncio.gather(
            *(
                _send(context, number)
                for number in entries
                for _ in range(count)
            ),
        )

    context.loop.run_until_complete(run())


@then("every answer is the server's own")
def check_all_answers(context):
    assert context.answers
    for answer in context.answers:
        assert (answer.status, answer.body) == (200, b'one'), answer


@then("the answer is the server's own")
def check_answer(context):
    assert context.answer.status == 200, context.answer
    assert context.answer.body == b'one', context.answer


@then('the answer has {count:d} bytes')
def check_length(context, count):
    assert len(context.answer.body) == count, context.answer


@then('the outcome is "{outcome}" with code "{code}"')
def check_outcome(context, outcome, code):
    assert context.answer.outcome == outcome, context.answer
    assert context.answer.code == code, context.answer


@then('the posting ran {count:d} time')
@then('the posting ran {count:d} times')
def check_runs(context, count):
    assert context.fleet.executions('one') == count


_EVENT_SEQUENCES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['a', 'b', 'c', 'd']),
        strategies.sampled_from(list(KeyState)),
        strategies.floats(0, 4),
    ),
    max_size=60,
)


@then('no sequence of events starts a key twice within its window')
def check_table(context):
    @run_settings(max_examples=300, deadline=None, derandomize=True)
    @for_all(_EVENT_SEQUENCES)
    def run(steps):
        checker = _KeyTableChecker()
        for key, state, seconds in steps:
            checker.clock.advance(seconds)
            checker.send(key, state)

    run()


class _KeyTableChecker:
    """Sends keys to a table and checks that none starts twice."""

    window = 10

    def __init__(self):
        self.clock = ManualClock()
        limits = KeyLimits(self.window, max_keys=3, max_response_bytes=0)
        self.table = KeyTable(limits, self.clock)
        self.started_at = {}

    def send(self, key, state):
        record = self.table.find(key, b'')
        if record is not None and record.state is not KeyState.NOT_RUN:
            return
        try:
            record = self.table.begin(key, b'')
        except KeyTableFullError:
            return
        started_at = self.started_at.get(key, -self.window)
        assert self.clock.now >= started_at + self.window
        if state is not KeyState.NOT_RUN:
            self.started_at[key] = self.clock.now
        self.table.settle(record, state)
        assert len(self.table.records) <= 3


@when('the caller library sends {count:d} postings')
def send_with_library(context, count):
    seeds = [('127.0.0.1', entry.port) for entry in context.fleet.entries]
    caller = Caller(seeds, random.Random(1))
    context.closers.append(caller.close)
    numbers = itertools.count()

    async def send():
        request_id = f'posting-{next(numbers)}'
        headers = {'X-Request-Id': request_id}
        options = CallOptions('POST', '/postings', headers, b'hello')
        return request_id, await call_once(caller, options)

    async def run():
        context.answers = [await send() for _ in range(count)]

    context.loop.run_until_complete(run())


@then('every posting ran at most once and only the lost answers are unknown')
def check_library(context):
    unknown = 0
    for request_id, answer in context.answers:
        runs = context.fleet.executions(request_id)
        assert runs <= 1, request_id
        if answer.outcome == 'unknown':
            unknown += 1
        else:
            assert answer.status == 200, answer
            assert answer.body == request_id.encode()
            assert runs == 1
    assert unknown == 3, unknown
