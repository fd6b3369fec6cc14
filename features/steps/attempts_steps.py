"""Steps of attempts, hedging and retries of one request."""

import asyncio
import json
import random

from behave import given, then, when

from features.support.builders import build_route
from zinniaturn.caller import Caller
from zinniaturn.configuration import (
    apply_pools,
    apply_routes,
    commit,
    read_tables,
)
from zinniaturn.entry import Entry
from zinniaturn.settings import EntrySettings
from zinniaturn.standins import BackendStandIn, ServiceTime, StoreStandIn
from zinniaturn.standins.backend_faults import BackendFaults
from zinniaturn.store import HttpStore
from zinniaturn.tables import Pool, Server


async def _commit(url, backends):
    store = HttpStore(url)
    base = await read_tables(store)
    servers = tuple(
        Server(backend.name, '127.0.0.1', backend.port, backend.slots)
        for backend in backends
    )
    tables = apply_pools(base.tables, [Pool('card', servers, retry_share=1)])
    await commit(store, base, apply_routes(tables, [build_route()]))
    await store.close()


async def _open(context, count):
    store = StoreStandIn()
    await store.start()
    context.backends = [
        BackendStandIn(f'card-{number}', service_time=ServiceTime(0.005))
        for number in range(count)
    ]
    for backend in context.backends:
        await backend.start()
        context.closers.append(backend.stop)
    await _commit(store.url, context.backends)
    context.entry = Entry(
        EntrySettings(
            name='entry-0',
            port=0,
            admin_port=0,
            store_url=store.url,
            policy='round-robin',
            address_lifetime_seconds=0.1,
            seed=1,
        ),
    )
    await context.entry.start()
    while not context.entry.state.pools:
        await asyncio.sleep(0.01)
    seeds = [('127.0.0.1', context.entry.port)]
    context.caller = Caller(seeds, random.Random(1))
    context.closers.extend(
        [store.stop, context.entry.stop, context.caller.close],
    )


async def _send(context, count, method):
    context.answers += await asyncio.gather(
        *(
            context.caller.call(
                method,
                '/x',
                {'X-Request-Id': f'{method}-{number}'},
                b'' if method == 'GET' else b'x',
            )
            for number in range(count)
        ),
    )


@given(
    'an entry in front of {servers:d} backend servers '
    'that has served {count:d} requests',
)
def open_entry(context, servers, count):
    async def prepare():
        await _open(context, servers)
        context.answers = []
        for _ in range(count // 4):
            await _send(context, 4, 'GET')
        for backend in context.backends:
            backend.executions.clear()
            backend.cancelled.clear()

    context.loop.run_until_complete(prepare())


@when('server {number:d} takes {times:d} times as long')
def slow_down(context, number, times):
    context.backends[number].apply_faults(BackendFaults(slowdown=times))


@when('server {number:d} sheds every request')
def shed(context, number):
    context.backends[number].apply_faults(BackendFaults(shed=True))


@when('{count:d} idempotent requests are sent')
def send_idempotent(context, count):
    context.answers.clear()

    async def send():
        for _ in range(count):
            await _send(context, 1, 'GET')

    context.loop.run_until_complete(send())


@when('{count:d} non-idempotent requests are sent')
def send_posts(context, count):
    context.answers.clear()
    context.loop.run_until_complete(_send(context, count, 'POST'))


@then('server {number:d} answered all requests')
def check_answers(context, number):
    for answer in context.answers:
        assert answer.status == 200, answer
        assert json.loads(answer.body)['server'] == f'card-{number}'


@then('server {number:d} cancelled the requests that it had started')
def check_cancelled(context, number):
    backend = context.backends[number]

    async def wait():
        while backend.busy:
            await asyncio.sleep(0.01)

    context.loop.run_until_complete(asyncio.wait_for(wait(), 10))
    assert backend.cancelled == backend.executions, backend.counts
    assert backend.cancelled.total() > 0, backend.counts


@then('no request is counted as in flight')
def check_in_flight(context):
    pool = context.entry.state.pools['card']

    async def wait():
        while any(state.in_flight for state in pool.servers.values()):
            await asyncio.sleep(0.01)

    context.loop.run_until_complete(asyncio.wait_for(wait(), 10))


@then('each request ran once')
def check_once(context):
    ran = sum(
        (backend.executions for backend in context.backends),
        start=type(context.backends[0].executions)(),
    )
    assert ran.total() == len(context.answers)
    assert set(ran.values()) == {1}


@when('server {number:d} drains')
def drain(context, number):
    context.backends[number].apply_faults(BackendFaults(draining=True))


@then('server {number:d} gets requests again')
def check_back(context, number):
    backend = context.backends[number]
    backend.executions.clear()

    async def wait():
        while not backend.executions:
            await _send(context, 2, 'GET')
            await asyncio.sleep(0.1)

    context.loop.run_until_complete(asyncio.wait_for(wait(), 60))
