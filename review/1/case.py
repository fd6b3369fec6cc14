"""An entry that can't be read keeps all gateways from reading the store."""

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (  # noqa: E402
    CaseError,
    GatewayProcess,
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

CALM_SECONDS = 4.0
WORK_SECONDS = 0.1
WAIT_MS = 2000
CONFIG_APPLY_SECONDS = 2.0
# Requests begin so long after the bound, which is in the script's favour.
MARGIN_SECONDS = 1.0
REQUESTS = 40
GAP_SECONDS = 0.1
# What another program has written under a server's key: no entry, and no JSON.
FOREIGN_ENTRY = b'{"trace":' + b'[' * 1200


async def play(record: Record, folder: str) -> list[str]:
    """Move a route; return the requests that the old service ran."""
    store = Store(random_host())
    await store.start()
    upstreams = {
        service: Upstream(
            random_host(),
            f'i-{service}',
            service,
            record,
            lambda message: WORK_SECONDS,
        )
        for service in ('ledger-old', 'ledger-new')
    }
    for upstream in upstreams.values():
        await upstream.start()
        store.write_json(f'servers/{upstream.name}', upstream.entry())
    services = list(upstreams)
    routes = [route('post', 'ledger-old', 'non_idempotent')]
    store.write_json('op/config', config(1, routes, services))
    gateways = [
        GatewayProcess(f'g-{number}', store, folder, record)
        for number in range(3)
    ]
    statuses: dict[str, int] = {}
    try:
        for gateway in gateways:
            await gateway.start()
        await asyncio.sleep(CALM_SECONDS)
        if is_trouble():
            store.write('servers/i-foreign', FOREIGN_ENTRY)
            record.note('another writer has written servers/i-foreign')
            await asyncio.sleep(1)
        routes = [route('post', 'ledger-new', 'non_idempotent')]
        store.write_json('op/config', config(2, routes, services))
        record.note('version 2 is confirmed: the route goes to ledger-new')
        await asyncio.sleep(CONFIG_APPLY_SECONDS + MARGIN_SECONDS)
        await asyncio.gather(
            *(
                post(number, gateways[number % 3], statuses, record)
                for number in range(REQUESTS)
            )
        )
        await restart(gateways[2], record)
    finally:
        for gateway in gateways:
            await gateway.end()
        for upstream in upstreams.values():
            upstream.stop()
        store.stop()
    record.note(f'answers by status: {Counter(statuses.values())}')
    old = upstreams['ledger-old'].runs
    record.note(f'run by the old service: {len(old)} of {len(statuses)}')
    return [
        f'CONFIG: {attempt} was run by the old service'
        for attempt in statuses
        if attempt in old
    ]


async def post(
    number: int,
    gateway: GatewayProcess,
    statuses: dict[str, int],
    record: Record,
) -> None:
    """Post on a new channel."""
    await asyncio.sleep(number * GAP_SECONDS)
    attempt = f'a{number}'
    requester = await gateway.connect()
    record.note(f'sent {attempt} to {gateway.name}')
    requester.send('POST', '/post/1', attempt, WAIT_MS, b'disposal')
    answer = await requester.receive(WAIT_MS / 1000 + 1)
    requester.close()
    statuses[attempt] = status_of(answer)
    record.note(f'answer to {attempt}: {statuses[attempt]}')


async def restart(gateway: GatewayProcess, record: Record) -> None:
    """Restart a gateway and record whether it becomes ready."""
    gateway.signal(signal.SIGTERM)
    await gateway.process.wait()
    gateway.settings['first_start'] = False
    try:
        await gateway.start()
    except CaseError:
        record.note(f'{gateway.name} is not ready 20 s after its start')


run_case(__file__, play)
