"""A fleet before servers that some requests crash, and its callers."""

import asyncio
import itertools
from dataclasses import dataclass, field, replace
from functools import partial

from features.support.cut_links import wait_until_acquainted
from features.support.gateway import (
    SmallPlatform,
    build_request_bytes,
    send_request,
)
from zinniaturn.platform.standins import CrashRule, ServerStandIn

DEADLY_MARK = b'deadly'
WORK_SECONDS = 0.05


@dataclass
class Answer:
    """What a caller got; ``status`` is 0 without a whole response."""

    request_id: str
    target: str
    sent_at: float
    status: int = 0
    fields: dict = field(default_factory=dict)
    body: bytes = b''
    seconds: float = 0

    @property
    def is_deadly(self):
        return DEADLY_MARK.decode() in self.target


class CrashingFleet:
    """
    Gateways before servers that end on marked requests.

    A server is back after ``down_seconds`` as another process with another
    name.
    """

    def __init__(self, context, down_seconds, **rule):
        self.context = context
        self.down_seconds = down_seconds
        self.platform = SmallPlatform(context)
        context.platform = self.platform
        self.rule = CrashRule(
            frozenset((DEADLY_MARK,)), on_crash=self._on_crash, **rule
        )
        self.numbers = itertools.count()
        self.restarts = set()
        self.answers = []

    async def start(self, gateways, servers, config=None, metrics_port=0):
        await self.platform.start([], config)
        for number in range(servers):
            server = ServerStandIn(
                name=f's-{number + 1}',
                work_seconds=WORK_SECONDS,
                echoes_request_id=True,
                crash_rule=self.rule,
            )
            await self.platform.add_server(server)
        self.ports = {id(one): one.port for one in self.platform.servers}
        for number in range(gateways):
            await self.platform.add_gateway(
                f'vm-{number + 1}',
                before_start=partial(_serve_metrics, port=metrics_port),
            )
        await wait_until_acquainted(self.context)
        self.context.closers.append(self._close)

    async def send(self, gateway, target='/reads/1', **parts):
        """Send a request on a new connection; return what came of it."""
        loop = asyncio.get_running_loop()
        answer = Answer(f'r-{next(self.numbers)}', target, loop.time())
        self.answers.append(answer)
        payload = build_request_bytes(
            target=target, request_id=answer.request_id, **parts
        )
        receiver = self.platform.gateways[gateway]
        try:
            response = await send_request(receiver.settings.front, payload)
        except (OSError, EOFError, TimeoutError):
            response = 0, {}, b''
        status, fields, body = response
        answer.status = status
        answer.fields = fields
        answer.body = body
        answer.seconds = loop.time() - answer.sent_at
        return answer

    async def stream(self, rate, seconds, gateways=None, **request):
        """Send requests at a rate to gateways in turn."""
        targets = request.pop('targets', None) or itertools.repeat(
            request.pop('target', '/reads/1')
        )
        turns = itertools.cycle(gateways or range(len(self.platform.gateways)))
        sends = []
        for target in itertools.islice(targets, round(rate * seconds)):
            sends.append(
                asyncio.ensure_future(self.send(next(turns), target, **request))
            )
            await asyncio.sleep(1 / rate)
        return await asyncio.gather(*sends)

    def runs(self, answer):
        """Return how often servers ran a request."""
        return sum(
            server.runs[answer.request_id.encode()]
            for server in self.platform.servers
        )

    def events(self, event):
        """Return the log lines of all gateways with this event."""
        return [
            row
            for gateway in self.platform.gateways
            for row in gateway.event_log.rows
            if row['event'] == event
        ]

    def _on_crash(self, server):
        task = asyncio.ensure_future(self._restart(server))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def _restart(self, server):
        await asyncio.sleep(self.down_seconds)
        old_name = server.name
        name = f'{old_name.partition("+")[0]}+{next(self.numbers)}'
        await server.restart(name, self.ports[id(server)])
        self.platform.store.remove(f'servers/{old_name}')
        self.platform.store.write(f'servers/{name}', server.entry())

    async def _close(self):
        for task in list(self.restarts):
            task.cancel()


def _serve_metrics(gateway, port):
    gateway.settings = replace(gateway.settings, metrics_port=port)
