"""Callers' requests at the gateways of a fleet, and what became of each."""

import asyncio
import itertools
from dataclasses import dataclass, field

from features.support.gateway import build_request_bytes, send_request

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_SUCCESS = 200
_WAIT_MS = 1000


@dataclass
class Try:
    """A request at one gateway; ``status`` is 0 without a whole response."""

    request_id: str
    gateway: int
    is_post: bool
    sent_at: float
    status: int = 0
    fields: dict = field(default_factory=dict)
    body: bytes = b''
    seconds: float = 0

    @property
    def is_served(self):
        return self.status == _SUCCESS


class CutTraffic:
    """Sends first tries to gateways by their numbers, from 1 on."""

    def __init__(self, platform, wait_ms=_WAIT_MS):
        self.platform = platform
        self.wait_ms = wait_ms
        self.tries = []
        self.numbers = itertools.count()

    async def send(self, gateway, is_post=False):
        """Send one request on a new connection and return what became of it."""
        loop = asyncio.get_running_loop()
        kind = 'post' if is_post else 'read'
        one = Try(f'{kind}-{next(self.numbers)}', gateway, is_post, loop.time())
        self.tries.append(one)
        payload = build_request_bytes(
            'POST' if is_post else 'GET',
            '/posts/1' if is_post else '/reads/1',
            one.request_id,
            self.wait_ms,
        )
        settings = self.platform.gateways[gateway - 1].settings
        try:
            response = await send_request(settings.front, payload)
        except (OSError, EOFError, TimeoutError):
            response = 0, {}, b''
        status, fields, body = response
        one.status = status
        one.fields = fields
        one.body = body
        one.seconds = loop.time() - one.sent_at
        return one

    async def play(self, gateways, seconds, reads_per_second, posts_per_second):
        """Send requests to all these gateways and wait for the responses."""
        streams = [
            self._stream(gateway, is_post, rate, seconds)
            for gateway in gateways
            for is_post, rate in (
                (False, reads_per_second),
                (True, posts_per_second),
            )
            if rate
        ]
        await asyncio.gather(*streams)

    async def _stream(self, gateway, is_post, rate, seconds):
        sends = []
        for _ in range(round(rate * seconds)):
            sends.append(asyncio.ensure_future(self.send(gateway, is_post)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*sends)

    def runs(self, one):
        """Return how often the servers ran a request."""
        return sum(
            server.runs[one.request_id.encode()]
            for server in self.platform.servers
        )


def served_share(tries):
    """Return the share of requests that were served."""
    return sum(one.is_served for one in tries) / len(tries)
