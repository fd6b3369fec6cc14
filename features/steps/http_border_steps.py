"""Steps of HTTP/1.1 between callers and an entry, as raw bytes."""

import asyncio
import json
import resource

from behave import given, then, when

from features.support.builders import (
    build_pool,
    build_route,
    build_server,
    build_tables,
)
from features.support.byte_caller import ByteCaller
from features.support.scripted_server import BLOCK, ScriptedServer
from features.support.time_limits import time_limit
from zinniaturn.entry import Entry
from zinniaturn.settings import EntrySettings

READ_STEP_BYTES = 4_194_304
STEP_TIMEOUT_SECONDS = 60
KILOBYTES_PER_MEGABYTE = 1024
BYTES_PER_MEGABYTE = 1_048_576
UNUSED_STORE = 'http://127.0.0.1:9'


def raw(text):
    """Return the bytes of a step's text, in which ``|`` is a line break."""
    unescaped = text.encode('latin-1').decode('unicode_escape')
    return unescaped.replace('|', '\r\n').encode('latin-1')


def run(context, coroutine):
    """Run a coroutine; fail the step if it exceeds the timeout."""

    async def bounded():
        async with time_limit(STEP_TIMEOUT_SECONDS):
            return await coroutine

    return context.loop.run_until_complete(bounded())


async def until(condition):
    while not condition():
        await asyncio.sleep(0.005)


async def wait_for_bytes(server, count):
    await until(lambda: server.received_bytes >= count)


def memory_megabytes():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss / KILOBYTES_PER_MEGABYTE


@given('an entry in front of a scripted backend server')
def start_entry(context):
    async def start():
        context.server = ScriptedServer()
        await context.server.start()
        context.closers.append(context.server.stop)
        context.entry = Entry(
            EntrySettings(
                name='entry-0',
                port=0,
                admin_port=0,
                store_url=UNUSED_STORE,
                address_lifetime_seconds=0.01,
                address_lag_seconds=0,
            ),
        )
        await context.entry.start()
        context.closers.append(context.entry.stop)
        server = build_server(port=context.server.port)
        pool = build_pool()
        context.entry.state.installed.install(
            build_tables(
                1,
                [build_route(host='x'), build_route('other', host='y')],
                [type(pool)(pool.name, (server,))],
            ),
        )
        context.caller = ByteCaller()
        await context.caller.open(context.entry.port)
        context.closers.append(context.caller.close)

    run(context, start())
    context.answers = []
    context.memory = memory_megabytes()


@given('the server answers "{answer}"')
def set_answer(context, answer):
    context.server.answer = raw(answer)


@given('the server closes after its answer')
def set_close_after_answer(context):
    context.server.closes_after_answer = True


@given('the server answers before it reads the body and closes')
def set_answer_before_body_and_close(context):
    context.server.answers_before_body = True
    context.server.closes_after_answer = True


@given('the server answers before it reads the body')
def set_answer_before_body(context):
    context.server.answers_before_body = True


@given('the server never answers')
def set_never_answering(context):
    context.server.never_answers = True


@given('the server streams {count:d} bytes')
def set_stream(context, count):
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {count}\r\n\r\n'
    context.server.answer = head.encode()
    context.server.stream_bytes = count


@when('the caller sends "{text}"')
def send(context, text):
    context.caller.send(raw(text))


@when('the caller sends {count:d} bytes of body')
def send_body(context, count):
    async def send_all():
        context.caller.send(b'b' * count)
        await asyncio.sleep(0)

    run(context, send_all())


@when('the caller sends a header of {count:d} bytes')
def send_large_header(context, count):
    large = 'a' * count
    context.caller.send(raw(f'GET /a HTTP/1.1|Host: x|X-Large: {large}||'))


@when('the caller sends a target of {count:d} bytes')
def send_large_target(context, count):
    large = 'a' * count
    context.caller.send(raw(f'GET /{large} HTTP/1.1|Host: x||'))


@when('the caller sends {count:d} headers')
def send_many_headers(context, count):
    headers = ''.join(f'X-{number}: 1|' for number in range(count))
    context.caller.send(raw(f'GET /a HTTP/1.1|Host: x|{headers}|'))


@when('the caller reads {count:d} answer')
@when('the caller reads {count:d} answers')
def read_answers(context, count):
    for _ in range(count):
        context.answers.append(run(context, context.caller.read_answer()))


@when('the caller reads {count:d} answer without a body')
@when('the caller reads {count:d} answers without a body')
def read_bodyless(context, count):
    for _ in range(count):
        answer = run(context, context.caller.read_answer(bodyless=True))
        context.answers.append(answer)


@when('the caller reads the head of an answer')
def read_head(context):
    context.answers.append(run(context, context.caller.read_head()))


@when('the server has received the request')
def wait_for_request(context):
    run(context, context.server.head_received.wait())


@when('the caller disconnects')
def disconnect(context):
    run(context, context.caller.close())


@when('the caller uploads {count:d} bytes while the server reads in steps')
def upload(context, count):
    context.server.records_bodies = False
    context.bytes_ahead = 0

    async def allow_reading_in_steps():
        reading_allowed = context.server.reading_allowed
        while context.server.received_bytes < count:
            goal = context.server.received_bytes + READ_STEP_BYTES
            reading_allowed.set()
            await wait_for_bytes(context.server, min(goal, count))
            reading_allowed.clear()

    async def send_all():
        caller = context.caller
        head = f'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {count}\r\n\r\n'
        caller.send(head.encode())
        sent = 0
        while sent < count:
            caller.send(BLOCK)
            await caller.writer.drain()
            sent += len(BLOCK)
            bytes_ahead = sent - context.server.received_bytes
            context.bytes_ahead = max(context.bytes_ahead, bytes_ahead)
        return await caller.read_answer()

    async def both():
        gates = asyncio.ensure_future(allow_reading_in_steps())
        context.answers.append(await send_all())
        await gates

    run(context, both())


@then('every answer has status {status:d} and body "{body}"')
@then('every answer has status {status:d} and body ""')
def check_answers(context, status, body=''):
    assert context.answers
    for answer in context.answers:
        assert answer.status == status, answer
        assert answer.body == raw(body), answer


@then('the answer has status {status:d} and body "{body}"')
def check_answer(context, status, body):
    answer = context.answers[-1]
    assert (answer.status, answer.body) == (status, raw(body)), answer


@then('the server saw the targets "{targets}"')
@then('the server saw the targets ""')
def check_targets(context, targets=''):
    seen = [
        head.split(b' ')[1].decode() for head in context.server.request_heads
    ]
    assert seen == targets.split(), seen


@then('the server saw the bodies "{bodies}"')
def check_bodies(context, bodies):
    expected = [body.encode() for body in bodies.split(' ')]
    assert context.server.request_bodies == expected, (
        context.server.request_bodies
    )


@then('the server saw the header "{line}"')
def check_seen_header(context, line):
    lines = context.server.request_heads[-1].decode('latin-1').split('\r\n')
    assert raw(line).decode('latin-1') in lines, lines


@then('the server did not see "{name}"')
def check_unseen_header(context, name):
    head = context.server.request_heads[-1].lower()
    assert f'\r\n{name.lower()}:'.encode() not in head, head


@then('the answer\'s "{name}" is "{value}"')
def check_header(context, name, value):
    answer = context.answers[-1]
    expected = raw(value).decode('latin-1')
    assert ', '.join(answer.values(name)) == expected, answer


@then('the answer has no "{name}"')
def check_no_header(context, name):
    assert not context.answers[-1].values(name), context.answers[-1]


@then('the server has {count:d} open connection')
def check_connections(context, count):
    assert context.server.open_connections == count


@then("the caller's connection is closed")
def check_ended(context):
    assert run(context, context.caller.read_to_end()) == b''


@then("the caller's connection is reset before {count:d} bytes of body")
def check_reset(context, count):
    async def read():
        received = b''
        while chunk := await context.caller.reader.read(BYTES_PER_MEGABYTE):
            received += chunk
        return received

    try:
        received = run(context, read())
    except ConnectionResetError:
        return
    raise AssertionError(f'a clean end after {received!r} of {count} bytes')


@then('the server has received {count:d} bytes of body')
def check_received(context, count):
    run(context, until(lambda: context.server.received_bytes == count))


@then('the connection to the server ends')
def check_connection_end(context):
    run(context, until(lambda: not context.server.open_connections))


@then(
    'the answer is a rejection with status {status:d} and code "{code}", '
    '{outcome_text}',
)
def check_rejection(context, status, code, outcome_text):
    answer = context.answers[-1]
    problem = json.loads(answer.body)
    outcome = outcome_text.replace(' ', '-')
    assert answer.status == status, answer
    assert answer.values('Content-Type') == ['application/problem+json']
    assert answer.values('Zinniaturn-Code') == [code], answer
    assert answer.values('Zinniaturn-Outcome') == [outcome], answer
    assert problem['status'] == status, problem
    assert problem['code'] == code, problem
    assert problem['outcome'] == outcome, problem


@then(
    'the caller reads all of it, at most {bound:d} MB behind the server',
)
def check_download(context, bound):
    async def read():
        await context.caller.read_head()
        received = 0
        while received < context.server.stream_bytes:
            chunk = await context.caller.reader.read(len(BLOCK))
            assert chunk, f'ended after {received} bytes'
            received += len(chunk)
            bytes_ahead = context.server.sent_bytes - received
            assert bytes_ahead < bound * BYTES_PER_MEGABYTE, bytes_ahead

    run(context, read())


@then('the server was never more than {bound:d} MB behind the caller')
def check_upload(context, bound):
    assert context.bytes_ahead < bound * BYTES_PER_MEGABYTE, context.bytes_ahead


@then('memory has grown by less than {bound:d} MB')
def check_memory(context, bound):
    grown = memory_megabytes() - context.memory
    assert grown < bound, grown
