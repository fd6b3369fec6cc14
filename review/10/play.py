"""A crowd that uploads in small chunks stops the process for seconds."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    Reply,
    Store,
    call,
    document,
    has_trouble,
    main,
    request_bytes,
    read_reply,
    route,
)

CROWD = int(os.environ.get('CROWD', '300'))
CROWD_SECONDS = 20.0
TIMEOUT_MS = 2000
# The requesters wait for longer than the operator lets them.
LEFT_MS = 6000
SLACK_SECONDS = 0.5
WORK_SECONDS = 0.12
# Ordinary callers, each on a new channel.
ORDINARY_SECONDS = 10.0
ORDINARY_INTERVAL_SECONDS = 0.2
READINESS_SECONDS = 1.0
RECOVERY_TRIES = 8
# As the rule says.
FEWEST, SHARE = 8, 0.25
# Of the stand-ins themselves; the figures are worth nothing beyond.
MOST_LAG_SECONDS = 0.4


async def wait_for_answer(gateway):
    """Return how long it takes until a request is answered again."""
    ended_at = time.monotonic()
    for number in range(RECOVERY_TRIES):
        try:
            reply = await call(
                gateway.front, 'POST', '/pay/after', f'after{number}', LEFT_MS,
                b'a', timeout=LEFT_MS / 1000,
            )  # fmt: skip
        except (TimeoutError, OSError):
            continue
        if reply.status == 200:
            seconds = time.monotonic() - ended_at
            return f'answered again {seconds:.0f} s after the crowd'
        await asyncio.sleep(1)
    return 'not answered again'


async def play(site):
    record = site.record
    site.watch_lag()
    store = await site.add(Store())
    await site.add_upstreams(store, 'billing-svc', 7, work=WORK_SECONDS)
    routes = [route('r1', '/pay/', 'non_idempotent', 'billing-svc', TIMEOUT_MS)]
    store.put('op/config', document(1, routes, ['billing-svc']))
    gateway = site.gateway('vm-1', store)
    await gateway.start()
    if not await gateway.wait_until_ready():
        site.record.say('the gateway is not ready in time')
        return NOT_RUN
    waits = []

    async def ordinary(number):
        """Send one request and note how long its answer took."""
        name = f'o{number}'
        reader, writer = await asyncio.open_connection(*gateway.front)
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(LEFT_MS / 1000):
                writer.write(
                    request_bytes('POST', f'/pay/{number}', name, LEFT_MS, b'a')
                )
                reply = await read_reply(reader)
        except (TimeoutError, OSError):
            reply = Reply()
        seconds = time.monotonic() - sent_at
        waits.append((seconds, reply.status))
        record(f'{name}: {reply.status or "no answer"} after {seconds:.2f} s')
        writer.close()

    silent = 0

    async def check_readiness():
        nonlocal silent
        while True:
            asked_at = time.monotonic()
            try:
                reply = await call(
                    gateway.readiness, 'GET', '/readyz', timeout=READINESS_SECONDS
                )
                text = f'status {reply.status}'
            except (TimeoutError, OSError):
                silent += 1
                text = 'no answer in time'
            record(f'readiness: {text}')
            left = READINESS_SECONDS - (time.monotonic() - asked_at)
            await asyncio.sleep(max(0, left))

    crowd = None
    if has_trouble():
        crowd = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__).resolve().parent / 'crowd.py'),
            gateway.host,
            str(gateway.front[1]),
            str(CROWD),
            str(CROWD_SECONDS),
            stdout=asyncio.subprocess.PIPE,
        )
        record(f'{CROWD} clients begin to upload as process {crowd.pid}')
    checking = asyncio.ensure_future(check_readiness())
    await asyncio.sleep(3)
    tasks = []
    started_at = time.monotonic()
    while time.monotonic() - started_at < ORDINARY_SECONDS:
        tasks.append(asyncio.ensure_future(ordinary(len(tasks))))
        await asyncio.sleep(ORDINARY_INTERVAL_SECONDS)
    await asyncio.gather(*tasks)
    checking.cancel()
    if crowd is not None:
        output, _ = await crowd.communicate()
        record.say(
            f'the crowd has sent {int(output) * 8 / CROWD_SECONDS / 1e6:.0f} '
            'Mbit/s'
        )
        record.say(await wait_for_answer(gateway))
    timeout = TIMEOUT_MS / 1000
    long_ones = [seconds for seconds, _ in waits if seconds > timeout]
    unanswered = [
        seconds for seconds in long_ones if seconds > timeout + SLACK_SECONDS
    ]
    record.say(
        f'{len(waits)} ordinary requests: {sum(s == 200 for _, s in waits)} with '
        f'200, {len(long_ones)} past their timeout, {len(unanswered)} of these '
        f'without an answer {SLACK_SECONDS} s later; {silent} readiness checks '
        f'without an answer; the process runs: {gateway.is_running}'
    )
    record.say(f'the stand-ins lagged by {site.most_lag:.2f} s at most')
    if site.most_lag > MOST_LAG_SECONDS:
        return NOT_RUN
    is_broken = (
        len(unanswered) >= FEWEST
        and len(unanswered) > SHARE * len(long_ones)
    )
    return BROKEN if is_broken else HELD


main(play)
