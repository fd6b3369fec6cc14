"""A process gets SIGTERM; requests that it takes later are cut off."""

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (  # noqa: E402
    GatewayProcess,
    Message,
    Record,
    Store,
    Upstream,
    config,
    is_trouble,
    random_host,
    route,
    run_case,
    status_of,
)

# The figures of `sub-start` in grown/nuudel-gw-grown.toml: its work is 230 ms
# on average and 1,700 ms at most, its route's timeout 2,500 ms, its time limit
# 5,932 ms.
GRACE_SECONDS = 6
WORK_SECONDS = 0.23
LONGEST_WORK_SECONDS = 1.7
TIMEOUT_MS = 2500
WAIT_MS = 5932
UPSTREAMS = 12
CALM_SECONDS = 4.0
# When requests are sent, counted from the SIGTERM; each third is a long one.
SEND_SECONDS = tuple(3.1 + 0.04 * number for number in range(30))
LONG_EVERY = 3


def work_seconds(message: Message) -> float:
    """Return how long a request takes."""
    is_long = b'/long' in message.start
    return LONGEST_WORK_SECONDS if is_long else WORK_SECONDS


async def play(record: Record, folder: str) -> list[str]:
    """Stop a gateway; return the requests that it cut off."""
    store = Store(random_host())
    await store.start()
    upstreams = [
        Upstream(random_host(), f'i-{number}', 'billing', record, work_seconds)
        for number in range(UPSTREAMS)
    ]
    for upstream in upstreams:
        await upstream.start()
        store.write_json(f'servers/{upstream.name}', upstream.entry())
    routes = [
        route(
            'post',
            'billing',
            'non_idempotent',
            timeout_ms=TIMEOUT_MS,
            target_latency_ms=712,
        ),
    ]
    store.write_json('op/config', config(1, routes, ['billing']))
    gateways = [
        GatewayProcess(
            f'g-{number}', store, folder, record, grace_s=GRACE_SECONDS
        )
        for number in range(2)
    ]
    answers: dict[str, tuple[int, float]] = {}
    try:
        for gateway in gateways:
            await gateway.start()
        await asyncio.sleep(CALM_SECONDS)
        began_at = time.monotonic()
        if is_trouble():
            gateways[0].signal(signal.SIGTERM)
        kill = asyncio.create_task(kill_after_grace(gateways[0], began_at))
        await asyncio.gather(
            *(
                post_at(
                    began_at + seconds,
                    f'a{number}',
                    gateways[0],
                    answers,
                    record,
                )
                for number, seconds in enumerate(SEND_SECONDS)
            )
        )
        kill.cancel()
    finally:
        for gateway in gateways:
            await gateway.end()
        for upstream in upstreams:
            upstream.stop()
        store.stop()
    statuses = Counter(status for status, _ in answers.values())
    record.note(f'answers by status, 0 for none: {statuses}')
    runs = Counter()
    for upstream in upstreams:
        runs.update(upstream.runs)
    return [
        f'LOST: {attempt} was passed on and its channel ended without an answer'
        for attempt, (status, seconds) in answers.items()
        if runs[attempt] and status == 0 and seconds < TIMEOUT_MS / 1000
    ]


async def kill_after_grace(gateway: GatewayProcess, began_at: float) -> None:
    """Do what the platform does when the grace is over."""
    if is_trouble():
        await asyncio.sleep(began_at + GRACE_SECONDS - time.monotonic())
        if gateway.process.returncode is None:
            gateway.signal(signal.SIGKILL)


async def post_at(
    at: float,
    attempt: str,
    gateway: GatewayProcess,
    answers: dict[str, tuple[int, float]],
    record: Record,
) -> None:
    """Post on a new channel; a refused one is not counted."""
    await asyncio.sleep(at - time.monotonic())
    try:
        requester = await gateway.connect()
    except (OSError, TimeoutError):
        record.note(f'no channel for {attempt}')
        return
    sent_at = time.monotonic()
    record.note(f'sent {attempt}')
    kind = 'short' if int(attempt[1:]) % LONG_EVERY else 'long'
    requester.send('POST', f'/post/{kind}', attempt, WAIT_MS, b'payment')
    answer = await requester.receive(WAIT_MS / 1000 + 1)
    requester.close()
    answers[attempt] = status_of(answer), time.monotonic() - sent_at
    record.note(f'answer to {attempt}: {status_of(answer) or "none"}')


run_case(__file__, play)
