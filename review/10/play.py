"""Servers of one service whose bodies never end stop the whole process."""

import asyncio
import os
import sys
import time
from collections import Counter
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
    read_reply,
    request_bytes,
    route,
)

# As on the sheet of Nuudel Sleepworks.
SLOTS = 3
CHARTS, CHART_SECONDS, CHARTS_PER_SECOND = 14, 0.09, 30.0
PAYMENTS, PAYMENT_SECONDS, PAYMENTS_PER_SECOND = 7, 0.12, 38.8
TIMEOUT_MS = 2500
# Some requesters wait for longer than the operator lets them.
LEFT_MS = 6000
SLACK_SECONDS = 0.5
SICK = int(os.environ.get('SICK', '4'))
# What one answer sends in a second, in chunks of one byte.
MEGABITS = float(os.environ.get('MEGABITS', '16'))
INTERVAL_SECONDS = 0.05
CHUNK = b'1\r\nx\r\n'
LOAD_SECONDS = 14.0
READINESS_SECONDS = 1.0
FEWEST, SHARE = 8, 0.25
# Of the stand-ins themselves; the figures are worth nothing beyond.
MOST_LAG_SECONDS = 0.4


async def play(site):
    record = site.record
    site.watch_lag()
    store = await site.add(Store())
    charts = await site.add_upstreams(
        store, 'chart-svc', CHARTS, work=CHART_SECONDS
    )
    payments = await site.add_upstreams(
        store, 'billing-svc', PAYMENTS, work=PAYMENT_SECONDS
    )
    sent = [0]
    piece = CHUNK * int(MEGABITS * 1e6 / 8 * INTERVAL_SECONDS / len(CHUNK))

    async def answer_without_end(server, name, target, writer):
        await asyncio.sleep(PAYMENT_SECONDS)
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\n'
            f'X-Upstream-Signature: {server.name}.{name}\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        while not writer.is_closing():
            writer.write(piece)
            sent[0] += len(piece)
            await writer.drain()
            await asyncio.sleep(INTERVAL_SECONDS)
        return False

    for server in (*charts, *payments):
        server.slots = SLOTS
        store.put(f'servers/{server.name}', server.entry())
    if has_trouble():
        for server in payments[:SICK]:
            server.on_run = answer_without_end
    routes = [
        route('r1', '/pay/', 'non_idempotent', 'billing-svc', TIMEOUT_MS),
        route('r2', '/chart/', 'idempotent', 'chart-svc', TIMEOUT_MS),
    ]
    services = ['billing-svc', 'chart-svc']
    store.put('op/config', document(1, routes, services))
    gateway = site.gateway('vm-1', store)
    await gateway.start()
    if not await gateway.wait_until_ready():
        site.record.say('the gateway is not ready in time')
        return NOT_RUN
    waits = {'chart': [], 'pay': []}
    statuses = {'chart': Counter(), 'pay': Counter()}

    async def ask(kind, method, number):
        """Send one request and note how long its answer took."""
        name = f'{kind}{number}'
        started_at = time.monotonic()
        reply = Reply()
        try:
            async with asyncio.timeout(LEFT_MS / 1000):
                reader, writer = await asyncio.open_connection(*gateway.front)
                writer.write(
                    request_bytes(method, f'/{kind}/{number}', name, LEFT_MS)
                )
                reply = await read_reply(reader)
                writer.close()
        except (TimeoutError, OSError):
            pass
        seconds = time.monotonic() - started_at
        waits[kind].append(seconds)
        statuses[kind][reply.status or 'none'] += 1
        record(f'{name}: {reply.status or "no answer"} after {seconds:.2f} s')

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

    checking = asyncio.ensure_future(check_readiness())
    started_at = time.monotonic()
    tasks, counts = [], Counter()
    rates = (
        ('chart', 'GET', CHARTS_PER_SECOND),
        ('pay', 'POST', PAYMENTS_PER_SECOND),
    )
    while (seconds := time.monotonic() - started_at) < LOAD_SECONDS:
        for kind, method, rate in rates:
            while counts[kind] < seconds * rate:
                counts[kind] += 1
                asked = ask(kind, method, counts[kind])
                tasks.append(asyncio.ensure_future(asked))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    checking.cancel()
    timeout = TIMEOUT_MS / 1000
    everything = waits['chart'] + waits['pay']
    long_ones = [seconds for seconds in everything if seconds > timeout]
    unanswered = [
        seconds for seconds in long_ones if seconds > timeout + SLACK_SECONDS
    ]
    record.say(
        f'answers: charts {dict(statuses["chart"])}, payments '
        f'{dict(statuses["pay"])}; the sick servers sent '
        f'{sent[0] * 8 / LOAD_SECONDS / 1e6:.0f} Mbit/s'
    )
    record.say(
        f'{len(long_ones)} of {len(everything)} requests past their timeout, '
        f'{len(unanswered)} of these without an answer {SLACK_SECONDS} s later; '
        f'{silent} readiness checks without an answer; '
        f'memory {gateway.memory_mb():.0f} MB; '
        f'the process runs: {gateway.is_running}'
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
