"""Steps of requests that arrive while the VM's process stands still."""

import asyncio
import time

from behave import when

from features.support.gateway import (
    build_request_bytes,
    replace_gateway,
    send_request,
)

_TICK_SECONDS = 0.005
_MOST_FURTHER_SECONDS = 0.03
_MOST_TRIES = 10


@when(
    '{count:d} callers read and the process stands still for {stall:g} s '
    'after {delay:g} s'
)
def read_and_stall(context, count, stall, delay):
    async def read_until_undisturbed():
        for number in range(_MOST_TRIES):
            watch = asyncio.ensure_future(_longest_gap_but(stall))
            context.loop.call_later(delay, time.sleep, stall)
            responses = await _read_all(context.front, count)
            watch.cancel()
            context.statuses = [status for status, _, _ in responses]
            if await watch < _MOST_FURTHER_SECONDS:
                return
            await replace_gateway(context, f'vm-again-{number}')
        raise TimeoutError('the process stood still in each try')

    context.loop.run_until_complete(read_until_undisturbed())


async def _read_all(front, count):
    texts = [
        build_request_bytes(request_id=f'id-{number}')
        for number in range(count)
    ]
    return await asyncio.gather(
        *(send_request(front, payload) for payload in texts)
    )


async def _longest_gap_but(stall):
    """Return by how much the loop stood still beside the stall, at the end."""
    loop = asyncio.get_running_loop()
    gaps = [0]
    try:
        while True:
            slept_at = loop.time()
            await asyncio.sleep(_TICK_SECONDS)
            gaps.append(loop.time() - slept_at)
    except asyncio.CancelledError:
        gaps.sort()
        return max(gaps[-1] - stall, *gaps[:-1])
