"""Steps of failures beside clients that keep to no limits."""

import asyncio
import json
import signal

from behave import then, when

from zinniaturn.platform.standins import StoreFault

_POLL_SECONDS = 0.05


@when('the process is told to stop')
def tell_to_stop(context):
    context.vm.signal(signal.SIGTERM)
    context.told_at = context.loop.time()


@then('it ends within its grace period')
def check_ended(context):
    settings = json.loads(context.vm.settings_path.read_text())
    until = context.told_at + settings['bounds']['grace_s']

    async def wait():
        while context.vm.is_running() and context.loop.time() < until:
            await asyncio.sleep(_POLL_SECONDS)

    context.loop.run_until_complete(wait())
    assert context.vm.process.poll() == 0, context.vm.process.poll()


@when('the store gives no reply')
def silence_store(context):
    context.store.faults[''] = StoreFault.SILENT
