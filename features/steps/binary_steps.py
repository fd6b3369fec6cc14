"""Steps for the one-file binary."""

import json
import os
import random
import re
import signal
import tempfile

import psutil
from behave import given, then, when

from features.support.binary import (
    TIMEOUT_SECONDS,
    RunningBinary,
    build_binary,
)
from features.support.builders import build_route, build_server, build_tables
from features.support.time_limits import time_limit
from zinniaturn.caller import Caller
from zinniaturn.configuration import commit, read_tables
from zinniaturn.standins import BackendStandIn, StoreStandIn
from zinniaturn.store import HttpStore
from zinniaturn.tables import Pool

_C_LIBRARY = re.compile(
    r'/(ld-linux|lib(c|m|rt|dl|pthread|util)\.so)[^/]*$',
)
_FORBIDDEN = re.compile('io_uring|^/dev/(?:shm)|^/SYSV')
_STARTED_EVENT = 100
_READY_EVENT = 101


def run_with_timeout(context, coroutine):
    async def bounded():
        async with time_limit(TIMEOUT_SECONDS):
            return await coroutine

    return context.loop.run_until_complete(bounded())


@given('a binary made by the build')
def build_binary_once(context):
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

    run_with_timeout(context, start())
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
        await wait_until_ready(context)

    run_with_timeout(context, start())


async def wait_until_ready(context):
    seen_events = set()
    while not {_STARTED_EVENT, _READY_EVENT} <= seen_events:
        event_line = await context.binary.process.stderr.readline()
        assert event_line, 'the binary exited before it was ready'
        event = json.loads(event_line)
        seen_events.add(event['event'])
        if event['event'] == _STARTED_EVENT:
            context.port = event['port']


@when('the binary runs "{command_line}"')
def run_command_line(context, command_line):
    async def run_to_end():
        await context.binary.start(*command_line.split())
        process_output = await context.binary.process.communicate()
        context.output = process_output[0]

    run_with_timeout(context, run_to_end())


@when('the binary receives SIGTERM')
def stop_binary(context):
    context.binary.process.send_signal(signal.SIGTERM)


@then('a caller gets a response through it')
def check_response(context):
    async def call():
        caller = Caller([('127.0.0.1', context.port)], random.Random(1))
        try:
            return await caller.call('GET', '/cards/1', {'X-Request-Id': 'a'})
        finally:
            await caller.close()

    response = run_with_timeout(context, call())
    assert response.status == 200, response
    assert json.loads(response.body)['request_id'] == 'a', response


@then('the running process is the one that was started')
def check_process(context):
    process = psutil.Process(context.binary.process.pid)
    assert process.ppid() == os.getpid(), process
    assert process.exe() == str(context.path), process.exe()


@then('it has no child processes and never had one')
def check_children(context):
    assert context.binary.child_processes() == ([], 0)


@then('it has written no files')
def check_files(context):
    assert not context.binary.written_files()


@then("it has mapped no shared libraries except the C library's")
def check_mapped_libraries(context):
    library_paths = {
        path
        for path in context.binary.mapped_files()
        if '.so' in path and not path.startswith('/memfd:')
    }
    other_libraries = [
        path for path in library_paths if _C_LIBRARY.search(path) is None
    ]
    assert not other_libraries, other_libraries


@then('it uses no io_uring and no named shared memory')
def check_forbidden(context):
    open_files = context.binary.open_files()
    used_paths = (*context.binary.mapped_files(), *open_files)
    forbidden_paths = [
        used_path for used_path in used_paths if _FORBIDDEN.search(used_path)
    ]
    assert not forbidden_paths, forbidden_paths


@then('the binary exits with status {status:d}')
def check_status(context, status):
    exit_status = run_with_timeout(context, context.binary.process.wait())
    assert exit_status == status, exit_status


@then("the demo's JSON reports no lost or doubled request")
def check_demo_summary(context):
    summary = json.loads(context.output.splitlines()[-1])
    assert summary['requests'] > 0, summary
    assert summary['answered'] == summary['requests'], summary
    assert (summary['lost'], summary['doubled']) == (0, 0), summary
