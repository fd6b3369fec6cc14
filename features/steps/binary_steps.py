"""Steps of the one-file binary."""

import asyncio
import json
import os
import random
import re
import signal
import tempfile

import psutil
from behave import given, then, when

from features.support.binary import (
    PATIENCE_SECONDS,
    RunningBinary,
    build_binary,
)
from features.support.builders import build_route, build_server, build_tables
from zinniaturn.caller import Caller
from zinniaturn.configuration import commit, read_tables
from zinniaturn.standins import BackendStandIn, StoreStandIn
from zinniaturn.store import HttpStore
from zinniaturn.tables import Pool

_SYSTEM = re.compile(
    r'/(ld-linux|lib(c|m|rt|dl|pthread|util)\.so)[^/]*$',
)
_SHARED = re.compile('io_uring|^/dev/(?:shm)|^/SYSV')
_STARTED = 100
_READY = 101


def run(context, coroutine):
    async def bounded():
        async with asyncio.timeout(PATIENCE_SECONDS):
            return await coroutine

    return context.loop.run_until_complete(bounded())


@given('a binary made by the build')
def make_binary(context):
    context.path = build_binary()
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.binary = RunningBinary(folder.name)


@given('a store with tables and a backend server')
def start_fleet(context):
    async def start():
        context.store = StoreStandIn()
        context.backend = BackendStandIn('card-0')
        await context.store.start()
        await context.backend.start()
        store = HttpStore(context.store.url)
        server = build_server(port=context.backend.port)
        tables = build_tables(
            0,
            [build_route(path_prefix='/cards')],
            [Pool('card', (server,))],
        )
        await commit(store, await read_tables(store), tables)
        await store.close()

    run(context, start())
    context.closers.extend((context.store.stop, context.backend.stop))


@when('the binary runs as an entry in an empty folder')
def start_entry(context):
    async def start():
        await context.binary.start(
            'entry',
            '--name=entry-0',
            f'--store-url={context.store.url}',
            '--port=0',
            '--admin-port=0',
            '--address-lifetime-seconds=0.1',
        )
        context.closers.append(context.binary.close)
        await read_port(context)

    run(context, start())


async def read_port(context):
    seen = set()
    while not {_STARTED, _READY} <= seen:
        line = await context.binary.process.stderr.readline()
        assert line, 'the binary ended'
        event = json.loads(line)
        seen.add(event['event'])
        if event['event'] == _STARTED:
            context.port = event['port']


@when('the binary runs "{line}"')
def run_line(context, line):
    async def run_to_end():
        await context.binary.start(*line.split())
        ended = await context.binary.process.communicate()
        context.output = ended[0]

    run(context, run_to_end())


@when('it is told to stop')
def stop_binary(context):
    context.binary.process.send_signal(signal.SIGTERM)


@then('a caller gets an answer through it')
def check_answer(context):
    async def call():
        caller = Caller([('127.0.0.1', context.port)], random.Random(1))
        try:
            return await caller.call('GET', '/cards/1', {'X-Request-Id': 'a'})
        finally:
            await caller.close()

    answer = run(context, call())
    assert answer.status == 200, answer
    assert json.loads(answer.body)['request_id'] == 'a', answer


@then('it is the process that was started')
def check_process(context):
    process = psutil.Process(context.binary.process.pid)
    assert process.ppid() == os.getpid(), process
    assert process.exe() == str(context.path), process.exe()


@then('it has no child and never had one')
def check_children(context):
    assert context.binary.children() == ([], 0)


@then('it has written no file')
def check_files(context):
    assert not context.binary.written()


@then("it has mapped no shared library but the C library's")
def check_mapped(context):
    on_disk = {
        path
        for path in context.binary.mapped()
        if '.so' in path and not path.startswith('/memfd:')
    }
    foreign = [path for path in on_disk if _SYSTEM.search(path) is None]
    assert not foreign, foreign


@then('it uses no io_uring and no named shared memory')
def check_shared(context):
    files = context.binary.open_files()
    places = (*context.binary.mapped(), *files)
    found = [place for place in places if _SHARED.search(place)]
    assert not found, found


@then('it ends with the status {status:d}')
def check_status(context, status):
    found = run(context, context.binary.process.wait())
    assert found == status, found


@then("the demo's JSON says that nothing was lost")
def check_demo(context):
    summary = json.loads(context.output.splitlines()[-1])
    assert summary['requests'] > 0, summary
    assert summary['answered'] == summary['requests'], summary
    assert (summary['lost'], summary['doubled']) == (0, 0), summary
