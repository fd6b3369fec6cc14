"""Steps of complete answers to the right caller."""

import asyncio
from types import MappingProxyType

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as run_settings
from hypothesis import strategies

from features.support.byte_caller import ByteCaller
from features.support.requests import head, receive
from features.support.small_fleet import SmallFleet
from features.support.stepped_server import Close, Pause, ReadBody, Send

_LINES = 40
_OK = b'HTTP/1.1 200 OK\r\n'


def _body(request_id):
    return b''.join(b'%b\n' % request_id.encode() for _ in range(_LINES))


def _whole(request_id):
    body = _body(request_id)
    rows = f'Content-Length: {len(body)}\r\nX-Request-Id: {request_id}\r\n\r\n'
    return b''.join((_OK, rows.encode(), body))


def _chunked(request_id):
    body = _body(request_id)
    start = b'Transfer-Encoding: chunked\r\n\r\n'
    size = b'%x\r\n' % len(body)
    return b''.join((_OK, start, size, body, b'\r\n0\r\n\r\n'))


def _in_pieces(answer, pieces=4):
    size = max(1, len(answer) // pieces)
    starts = range(0, len(answer), size)
    for start in starts:
        yield Send(answer[start : start + size])
        yield Pause(0.002)


def _cut(answer, at):
    return [Send(answer[: int(len(answer) * at)]), Pause(0.001), Close()]


_ANSWER_SCRIPTS = MappingProxyType(
    {
        'whole': lambda name: [Send(_whole(name))],
        'chunked': lambda name: [Send(_chunked(name))],
        'late': lambda name: [Pause(0.02), Send(_whole(name))],
        'in pieces': lambda name: list(_in_pieces(_whole(name))),
        'chunked in pieces': lambda name: list(_in_pieces(_chunked(name))),
        'cut in the head': lambda name: _cut(_whole(name), 0.05),
        'cut in the body': lambda name: _cut(_whole(name), 0.6),
        'cut before the last chunk': lambda name: _cut(_chunked(name), 0.97),
        'too long': lambda name: [Send(_whole(name)), Send(b'and more')],
        'twice': lambda name: [Send(_whole(name)), Send(_whole(name))],
        'twice, late': lambda name: [
            Send(_whole(name)),
            Pause(0.004),
            Send(_whole(name)),
        ],
        'closed after': lambda name: [Send(_whole(name)), Close()],
        'nothing': lambda name: [Close()],
    }
)
_MALFORMED_HEADERS = MappingProxyType(
    {
        'both lengths': (
            b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nok\r\n0\r\n\r\n'
        ),
        'two lengths': b'Content-Length: 2\r\nContent-Length: 3\r\n\r\nok',
        'a bad chunk size': b'Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n',
        "another request's id": (
            b'X-Request-Id: someone\r\nContent-Length: 2\r\n\r\nok'
        ),
        'a control character': b'X-A: a\x01b\r\nContent-Length: 2\r\n\r\nok',
        'a negative length': b'Content-Length: -2\r\n\r\nok',
    }
)
_MALFORMED_STARTS = MappingProxyType(
    {
        'a switch of protocols': b'HTTP/1.1 101 OK\r\nUpgrade: x\r\n\r\n',
        'nine interim answers': b'HTTP/1.1 103 Early Hints\r\n\r\n' * 9,
    }
)
_STRAY_BYTES = MappingProxyType(
    {
        'stray bytes': b'\x00\x01 nobody asked',
        'half a head': b'HTTP/1.1 200 OK\r\nContent-Le',
        'a whole answer': _whole('someone'),
        'a blank line': b'\r\n',
    }
)


@given('an entry in front of 2 servers with scripted answers')
def start_fleet(context):
    context.fleet = SmallFleet(servers=2)
    context.loop.run_until_complete(context.fleet.start())
    context.closers.append(context.fleet.stop)


async def _send(context, method, path, request_id):
    caller = ByteCaller()
    await caller.open(context.fleet.entries[0].port)
    fields = {'Zinniaturn_Deadline_Ms': 400}
    if method == 'POST':
        fields['Content_Length'] = 0
    caller.send(head(method, path, request_id, **fields))
    answer = await receive(caller)
    await caller.close()
    return answer


def _set_script(context, steps_of):
    def script(request):
        return [ReadBody(), *steps_of(request.request_id)]

    for backend in context.fleet.backends:
        backend.script = script


_REQUESTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(list(_ANSWER_SCRIPTS)),
        strategies.booleans(),
    ),
    min_size=1,
    max_size=12,
)


@then('no sequence of answers gives a caller a wrong or truncated answer')
def check_answer_scripts(context):
    numbers = iter(range(1_000_000))

    @run_settings(max_examples=60, deadline=None, derandomize=True)
    @for_all(_REQUESTS, strategies.integers(1, 4))
    def run(requests, width):
        context.loop.run_until_complete(
            _run_requests(context, requests, width, numbers),
        )

    run()


async def _run_requests(context, requests, width, numbers):
    """Send the requests, at most ``width`` of them concurrently."""
    named = [(f'r{next(numbers)}', *request) for request in requests]
    script_names = {name: script_name for name, script_name, _ in named}
    _set_script(context, lambda name: _ANSWER_SCRIPTS[script_names[name]](name))
    concurrency_limit = asyncio.Semaphore(width)

    async def send(name, is_get):
        async with concurrency_limit:
            if is_get:
                return name, await _send(context, 'GET', '/cards/1', name)
            return name, await _send(context, 'POST', '/postings', name)

    posted = [name for name, _, is_get in named if not is_get]
    results = await asyncio.gather(
        *(send(name, is_get) for name, _, is_get in named),
    )
    for name, result in results:
        _check_result(name, result)
    for backend in context.fleet.backends:
        assert all(backend.executions[request_id] <= 1 for request_id in posted)


def _check_result(name, result):
    """Check that an answer is the request's own, or else visibly failed."""
    if result.status == 200:
        assert result.body == _body(name), (name, result)
    else:
        assert result.outcome or not result.status, (name, result)


@when('a server sends {stray} after an answer')
def send_stray(context, stray):
    stray_bytes = _STRAY_BYTES[stray]

    async def run():
        _set_script(
            context,
            lambda name: [
                Send(_whole(name)),
                Pause(0.02),
                Send(stray_bytes),
            ],
        )
        answer = await _send(context, 'GET', '/cards/1', 'first')
        assert answer.status == 200
        await asyncio.sleep(0.1)

    context.loop.run_until_complete(run())


@then('the next {count:d} callers get the answers to their own requests')
def check_next(context, count):
    _set_script(context, lambda name: [Send(_whole(name))])

    async def run():
        for number in range(count):
            name = f'next-{number}'
            answer = await _send(context, 'POST', '/postings', name)
            assert (answer.status, answer.body) == (200, _body(name)), answer

    context.loop.run_until_complete(run())


@when('a server answers with {flaw}')
def answer_flawed(context, flaw):
    rest = _MALFORMED_HEADERS.get(flaw, b'')
    answer = _MALFORMED_STARTS.get(flaw, b''.join((_OK, rest)))

    async def run():
        _set_script(context, lambda name: [Send(answer), Pause(1)])
        context.answer = await _send(context, 'POST', '/postings', 'one')

    context.loop.run_until_complete(run())


@then('the posting is refused as "{outcome}" with code "{code}"')
def check_refused(context, outcome, code):
    assert context.answer.outcome == outcome, context.answer
    assert context.answer.code == code, context.answer
