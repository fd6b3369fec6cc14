"""A request that was turned away gets a second, late copy of that answer."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (  # noqa: E402
    GatewayProcess,
    Message,
    Record,
    ServerConnection,
    Store,
    Upstream,
    config,
    is_trouble,
    random_host,
    route,
    run_case,
    status_of,
)

GATEWAYS = 3
CALLERS = 12
SLOTS = 2
PLAY_SECONDS = 84.0
# The fault comes for five seconds at a time, with pauses of a second.
WINDOW_SECONDS = 5.0
PERIOD_SECONDS = 6.0
# Copies as a share of the faulty upstream's answers within a window.
COPY_SHARE = 0.03
# The copy comes when a response has been awaited on its channel for so long.
LATE_SECONDS = 0.01
WORK_SECONDS = (0.05, 0.12)
WAIT_MS = 3000
NOT_RUN_STATUSES = {408, 421, 429, 503}


class LedgerUpstream(Upstream):
    """
    An upstream with two slots and no queue.

    With ``pause`` it asks a gateway that it turns away to wait. One that
    ``is_faulty`` sends some of its answers twice, the second time late, where
    the next response on the channel is awaited. Of the answers it picks those
    after which the same attempt comes again on the same channel.
    """

    is_faulty = False
    pause = ''
    window_from = float('inf')
    window = -1
    answers = 0
    copies = 0

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(
            random_host(),
            name,
            'ledger',
            record,
            lambda message: random.uniform(*WORK_SECONDS),
        )
        self.slots = SLOTS
        self.queue = 0
        self.pending: dict[ServerConnection, tuple[str, bytes]] = {}

    async def serve(self, connection: ServerConnection, message: Message):
        handle = None
        attempt = (message.field(b'x-attempt-id') or b'').decode()
        if attempt and self.pending.get(connection, ('', b''))[0] != attempt:
            self.pending.pop(connection, None)
        if connection in self.pending:
            handle = asyncio.get_running_loop().call_later(
                LATE_SECONDS, self._send_copy, connection
            )
        try:
            await super().serve(connection, message)
        finally:
            if handle is not None:
                handle.cancel()

    def answer(
        self, connection: ServerConnection, message: Message, attempt: str
    ) -> bytes:
        self._count_answer()
        return super().answer(connection, message, attempt)

    def shed(self, connection: ServerConnection, attempt: str) -> bytes:
        is_copied = self._count_answer()
        self.record.note(f'{self.name} shed {attempt}')
        fields = [
            ('X-Attempt-Id', attempt),
            ('X-Not-Executed', '1'),
            self.load_field(),
        ]
        if self.pause:
            fields.append(('Retry-After', self.pause))
        raw = connection.respond(503, fields)
        if is_copied and connection not in self.pending:
            self.pending[connection] = attempt, raw
        return raw

    def _count_answer(self) -> bool:
        """Count an answer; return whether the fault may copy it."""
        since = time.monotonic() - self.window_from
        if not self.is_faulty or since < 0:
            return False
        window = int(since // PERIOD_SECONDS)
        if window != self.window:
            self.window, self.answers, self.copies = window, 0, 0
            self.pending.clear()
        self.answers += 1
        return self._may_copy()

    def _may_copy(self) -> bool:
        """Return whether the fault lasts and its share allows a copy."""
        since = time.monotonic() - self.window_from
        is_on = since % PERIOD_SECONDS < WINDOW_SECONDS
        return is_on and self.copies < int(self.answers * COPY_SHARE)

    def _send_copy(self, connection: ServerConnection) -> None:
        attempt, raw = self.pending.pop(connection, ('', b''))
        if not raw or connection.transport.is_closing():
            return
        if not self._may_copy():
            return
        self.copies += 1
        self.record.note(f'{self.name} second copy of its answer to {attempt}')
        connection.transport.write(raw)


async def play(record: Record, folder: str) -> list[str]:
    """Post for a minute; return how the rules were broken."""
    store = Store(random_host())
    await store.start()
    upstreams = [LedgerUpstream(f'i-{number}', record) for number in range(2)]
    upstreams[0].is_faulty = is_trouble()
    upstreams[1].pause = '5'
    for upstream in upstreams:
        await upstream.start()
        store.write_json(f'servers/{upstream.name}', upstream.entry())
    routes = [route('post', 'ledger', 'non_idempotent')]
    store.write_json('op/config', config(1, routes, ['ledger']))
    gateways = [
        GatewayProcess(f'g-{number}', store, folder, record)
        for number in range(GATEWAYS)
    ]
    statuses: dict[str, int] = {}
    try:
        for gateway in gateways:
            await gateway.start()
        await asyncio.sleep(3)
        upstreams[0].window_from = time.monotonic()
        until = time.monotonic() + PLAY_SECONDS
        await asyncio.gather(
            *(
                post_until(until, number, gateways, statuses, record)
                for number in range(CALLERS)
            )
        )
        await asyncio.sleep(1)
    finally:
        for gateway in gateways:
            await gateway.end()
        for upstream in upstreams:
            upstream.stop()
        store.stop()
    record.note(f'answers by status: {dict(Counter(statuses.values()))}')
    copies = sum('second copy' in line for line in record.lines)
    sheds = sum(' shed ' in line for line in record.lines)
    record.note(f'turned away {sheds}, second copies {copies}')
    return judge(upstreams, statuses)


async def post_until(
    until: float,
    number: int,
    gateways: list[GatewayProcess],
    statuses: dict[str, int],
    record: Record,
) -> None:
    """Post one request after the other, each on a new channel."""
    count = 0
    while time.monotonic() < until:
        count += 1
        attempt = f'a{number}-{count}'
        gateway = random.choice(gateways)
        requester = await gateway.connect()
        record.note(f'sent {attempt} to {gateway.name}')
        requester.send('POST', '/post/1', attempt, WAIT_MS, b'disposal')
        answer = await requester.receive(WAIT_MS / 1000 + 1)
        requester.close()
        statuses[attempt] = status_of(answer)
        record.note(f'answer to {attempt}: {statuses[attempt]}')
        await asyncio.sleep(random.uniform(0, 0.3))


def judge(
    upstreams: list[LedgerUpstream], statuses: dict[str, int]
) -> list[str]:
    """Return the requests that ran twice, or ran though they were refused."""
    runs: Counter[str] = Counter()
    for upstream in upstreams:
        runs.update(upstream.runs)
    broken = [
        f'TWICE: {attempt} ran {count} times'
        for attempt, count in runs.items()
        if count > 1
    ]
    broken.extend(
        f'REFUSED: {attempt} was answered {statuses[attempt]} and has run'
        for attempt in runs
        if statuses.get(attempt) in NOT_RUN_STATUSES
    )
    return broken


run_case(__file__, play)
