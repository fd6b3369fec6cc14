"""Time limits of steps that don't count time in which the tests stood still."""

import asyncio
import contextlib

_TICK_SECONDS = 0.05


@contextlib.asynccontextmanager
async def time_limit(seconds):
    """
    Raise `TimeoutError` after ``seconds`` in which the event loop has run.

    A core that is stuck for a minute stops the whole test process, and tells
    nothing of what the test waits for.
    """
    loop = asyncio.get_running_loop()
    ticks_left = round(seconds / _TICK_SECONDS)

    def tick():
        nonlocal ticks_left, timer
        ticks_left -= 1
        if ticks_left > 0:
            timer = loop.call_later(_TICK_SECONDS, tick)
        else:
            timeout.reschedule(loop.time())

    async with asyncio.timeout(None) as timeout:
        timer = loop.call_later(_TICK_SECONDS, tick)
        try:
            yield
        finally:
            timer.cancel()
