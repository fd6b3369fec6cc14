"""Steps of commands that ask a gateway process at its metrics address."""

import asyncio
import shlex

from behave import given, then, when

from features.support.asked_gateway import METRICS_PORT, run, start_asked
from features.support.command_line import run_command
from zinniaturn.experiments.loopback import loopback_host


@given('a process that {fault}')
def start_faulty(context, fault):
    context.vm = run(context, _start_faulty(context, fault))


async def _start_faulty(context, fault):
    host = loopback_host(1)
    if fault == 'does not answer':
        return f'{host}:{METRICS_PORT}'
    if fault == 'has no configuration yet':
        await start_asked(context, None, evacuate_seconds=5)
        context.platform.store.remove('op/config')
        return context.vm
    status = b'404 Not Found' if 'build' in fault else b'200 OK'

    async def respond(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 %b\r\nContent-Length: 2\r\n\r\n()' % status)

    server = await asyncio.start_server(respond, host, METRICS_PORT)
    context.closers.append(lambda: _close(server))
    return f'{host}:{METRICS_PORT}'


async def _close(server):
    server.close()


@when('the operator runs "{command}" for it')
def run_asked(context, command):
    arguments = shlex.split(command)
    context.result = run(context, run_command(*arguments, '--vm', context.vm))


@then("it ends with status {status:d} and prints '{text}'")
def check_printed(context, status, text):
    result = context.result
    assert result.status == status, result
    assert text in result.output + result.errors, result
