"""Steps of posts to a gateway process that gets SIGTERM."""

import asyncio
import json
import signal
from dataclasses import dataclass

from behave import given, then, when

from features.support.gateway import (
    build_request_bytes,
    read_response,
    send_request,
)
from zinniaturn.platform.standins import StoreFault

_POST_EVERY_SECONDS = 0.1
_LONG_EVERY = 3
_WAIT_MS = 2500
_TIMEOUT_SECONDS = 5
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_SUCCESS = 200
_LISTEN_SECONDS = 10
_READY = b'GET /readyz HTTP/1.1\r\nHost: readiness\r\n\r\n'


@dataclass(slots=True)
class _Post:
    """A post, with its status once it is answered, 0 if it was cut off."""

    request_id: str
    status: int = 0


@given('the servers take {short:g} s, or {long:g} s for each third post')
def set_work(context, short, long):
    def work_for(request):
        return long if b'/long' in request.target else short

    for server in context.servers.values():
        server.slots = 16
        server.work_for = work_for


async def _send_post(vm, post, number):
    """Send a post on a new connection, unless nobody listens any more."""
    kind = 'short' if number % _LONG_EVERY else 'long'
    try:
        reader, writer = await asyncio.open_connection(*vm.address)
    except OSError:
        return
    try:
        writer.write(
            build_request_bytes(
                'POST',
                f'/posts/{kind}',
                request_id=post.request_id,
                wait_ms=_WAIT_MS,
            )
        )
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            post.status = (await read_response(reader))[0]
    except (OSError, EOFError):
        post.status = 0
    finally:
        writer.transport.abort()


async def _post_until_ended(context, vm):
    """Post in a steady rhythm until the process has ended."""
    context.posts = []
    tasks = []
    while vm.is_running():
        number = len(context.posts)
        post = _Post(f'post-{number}')
        context.posts.append(post)
        tasks.append(asyncio.ensure_future(_send_post(vm, post, number)))
        await asyncio.sleep(_POST_EVERY_SECONDS)
    await asyncio.gather(*tasks)


def _change_settings(vm):
    settings = json.loads(vm.settings_path.read_text())
    settings.setdefault('bounds', {})['grace_s'] = 60
    vm.settings_path.write_text(json.dumps(settings))


async def _disturb(context, vm, beside):
    match beside:
        case 'a second SIGTERM after 2 s':
            await asyncio.sleep(2)
            vm.signal(signal.SIGTERM)
        case 'SIGHUP and new settings after 1 s':
            await asyncio.sleep(1)
            _change_settings(vm)
            vm.signal(signal.SIGHUP)
        case 'the store is away from then on':
            context.store.faults[''] = StoreFault.SILENT


@when(
    'VM 1 gets SIGTERM and {beside}, and callers post every 0.1 s until it '
    'has ended'
)
def stop_under_posts(context, beside):
    vm = context.vms[0]

    async def run():
        vm.signal(signal.SIGTERM)
        await asyncio.gather(
            _disturb(context, vm, beside), _post_until_ended(context, vm)
        )

    context.loop.run_until_complete(run())


@when(
    'VM 1 is started again, gets SIGTERM as soon as it listens, and callers '
    'post every 0.1 s until it has ended'
)
def stop_at_start(context):
    vm = context.vms[0]

    async def listens():
        try:
            await send_request(vm.readiness, _READY)
        except (OSError, EOFError):
            return False
        return True

    async def run():
        vm.start()
        async with asyncio.timeout(_LISTEN_SECONDS):
            while not await listens():
                await asyncio.sleep(0.005)
        vm.signal(signal.SIGTERM)
        await _post_until_ended(context, vm)

    context.loop.run_until_complete(run())


def _run_count(context, post):
    return sum(
        server.runs[post.request_id.encode()]
        for server in context.servers.values()
    )


@then('every post that ran was answered with 200 within its time')
def check_answered(context):
    ran = [post for post in context.posts if _run_count(context, post)]
    cut_off = [post for post in ran if post.status != _SUCCESS]
    assert not cut_off, (cut_off, len(ran))


@then('no post that was told not to have run has run')
def check_not_run(context):
    for post in context.posts:
        if post.status in _NOT_RUN_STATUSES:
            assert not _run_count(context, post), post
