"""Steps of the whole request path through a fleet."""

import json
import random

import aiohttp
from behave import given, then, when

from zinniaturn.caller import Caller
from zinniaturn.demo.fleet import DemoFleet
from zinniaturn.entry import Entry
from zinniaturn.settings import EntrySettings
from zinniaturn.standins import StoreStandIn

_BLOCK_BYTES = 65_536


def _open_caller(context, entries):
    seeds = [('127.0.0.1', entry.port) for entry in entries]
    context.caller = Caller(seeds, random.Random(1))
    context.closers.append(context.caller.close)


@given("the demo's fleet")
def start_fleet(context):
    context.fleet = DemoFleet(seed=1)
    context.answers = {}
    context.loop.run_until_complete(context.fleet.start())
    context.closers.append(context.fleet.stop)
    _open_caller(context, context.fleet.entries)


@given('an entry with an empty store')
def start_entry(context):
    async def start():
        store = StoreStandIn()
        await store.start()
        entry = Entry(
            EntrySettings(
                name='entry-0',
                port=0,
                admin_port=0,
                store_url=store.url,
                address_lifetime_seconds=0.1,
                address_lag_seconds=0,
            ),
        )
        await entry.start()
        context.closers.extend([store.stop, entry.stop])
        _open_caller(context, [entry])

    context.loop.run_until_complete(start())


@when('a caller reads {count:d} cards and posts {posts:d} times')
def send_requests(context, count, posts):
    async def send(method, path, number):
        request_id = f'request-{number}'
        context.answers[request_id] = await context.caller.call(
            method,
            path,
            {'X-Request-Id': request_id},
            b'' if method == 'GET' else b'x',
        )

    async def send_all():
        for _ in range(count):
            await send('GET', '/cards/7', len(context.answers))
        for _ in range(posts):
            await send('POST', '/postings', len(context.answers))

    context.loop.run_until_complete(send_all())


@when('an edit marks card server {number:d} as leaving')
def mark_leaving(context, number):
    context.loop.run_until_complete(context.fleet.mark_leaving('card', number))
    backend = context.fleet.backends['card'][number]
    context.executed_before = backend.executions.total()


@when('a caller reads "{path}"')
def read_path(context, path):
    context.answer = context.loop.run_until_complete(
        context.caller.call('GET', path, {}),
    )


@then('every request was answered with its own id')
def check_answers(context):
    assert context.answers
    for request_id, answer in context.answers.items():
        assert answer.status == 200, answer
        assert json.loads(answer.body)['request_id'] == request_id


@then('no request ran twice')
def check_no_repeats(context):
    for backends in context.fleet.backends.values():
        for backend in backends:
            counts = backend.executions
            assert all(count == 1 for count in counts.values()), counts


@then('card server {number:d} got no request after the edit')
def check_no_requests_after_edit(context, number):
    backend = context.fleet.backends['card'][number]
    assert backend.executions.total() == context.executed_before


@then('the answer has status {status:d}, outcome "{outcome}" and code "{code}"')
def check_rejection(context, status, outcome, code):
    answer = context.answer
    assert answer.status == status, answer
    assert answer.outcome == outcome, answer
    assert answer.headers['Zinniaturn-Code'] == code, answer


@when('an aiohttp client uploads {count:d} bytes in chunks')
def upload(context, count):
    async def chunks():
        sent = 0
        while sent < count:
            block = bytes(min(_BLOCK_BYTES, count - sent))
            sent += len(block)
            yield block

    async def send():
        port = context.fleet.entries[0].port
        url = f'http://127.0.0.1:{port}/cards/7'
        async with aiohttp.ClientSession() as session:
            async with session.put(url, data=chunks()) as reply:
                assert reply.status == 200, await reply.text()
                context.reply = await reply.json()

    context.loop.run_until_complete(send())


@then('the backend server counted {count:d} bytes')
def check_upload(context, count):
    assert context.reply['body_bytes'] == count, context.reply
