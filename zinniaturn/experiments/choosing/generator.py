"""
A load generator: open loop, so that a request is sent when it is due.

Latency counts from when the request was due, whatever held the generator up,
and a caller repeats a request that was not run, or that may run twice, until
it is answered or its patience ends.
"""

__all__ = ('START_FILE', 'run_generator')

import asyncio
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import msgspec
import uvloop

from zinniaturn.experiments.choosing.load_order import (
    LoadOrder,
    LoadRow,
    Stream,
)
from zinniaturn.experiments.choosing.plan import Workload

START_FILE = 'start'

_POLL_SECONDS = 0.01
_MILLISECONDS = 1000
_DEFAULT_RETRY_SECONDS = 0.1
_ANSWERED = 'answered'
_NOTHING = 'nothing'
_NOT_RUN = 'not-run'
_SUCCESS_BELOW = 500


@dataclass(frozen=True, slots=True)
class DueRequest:
    """A request, the offset at which it is due, and its execution."""

    number: int
    due_seconds: float
    service_seconds: float
    is_post: bool


@dataclass(frozen=True, slots=True)
class Reply:
    """How one try ended."""

    told: str
    status: int
    retry_seconds: float


def run_generator(order_path: Path, rows_path: Path) -> None:
    """
    Run the order in one file and write the rows to the other.

    A file beside the order, which appears once every generator is ready,
    holds the monotonic time of the run's start.
    """
    order = msgspec.json.decode(order_path.read_bytes(), type=LoadOrder)
    order_path.with_suffix('.ready').touch()
    started_at = _wait_for_start(order_path.with_name(START_FILE))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        rows = runner.run(Generator(order, started_at).run())
    rows_path.write_bytes(msgspec.json.encode(rows))


class Generator:
    """Sends the streams of one order."""

    def __init__(self, order: LoadOrder, started_at: float) -> None:
        self.order = order
        self.started_at = started_at
        self.rows: list[LoadRow] = []
        self.session: aiohttp.ClientSession | None = None

    async def run(self) -> list[LoadRow]:
        """Send every request and return the rows once all have ended."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            session._retry_connection = False
            self.session = session
            async with asyncio.TaskGroup() as group:
                for stream in self.order.streams:
                    group.create_task(self._run_stream(stream, group))
        return self.rows

    async def _run_stream(
        self,
        stream: Stream,
        group: asyncio.TaskGroup,
    ) -> None:
        source = random.Random(f'{stream.seed}/{self.order.generator}')
        for due in due_requests(stream, source):
            due_at = self.started_at + stream.starts_after + due.due_seconds
            pause = due_at - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            entries = self.order.entries
            entry = entries[source.randrange(len(entries))]
            group.create_task(self._call(stream, due, entry))

    async def _call(
        self,
        stream: Stream,
        due: DueRequest,
        entry: tuple[str, int],
    ) -> None:
        due_at = self.started_at + stream.starts_after + due.due_seconds
        late = time.monotonic() - due_at
        kind = 'post' if due.is_post else 'get'
        generator = self.order.generator
        slice_number = stream.slice_number
        request_id = (
            f'{kind}-{generator}-{slice_number}-{stream.service}-{due.number}'
        )
        tries = 0
        always_not_run = True
        while True:
            tries += 1
            reply = await self._try(stream, due, entry, request_id)
            elapsed = time.monotonic() - due_at
            always_not_run = always_not_run and reply.told == _NOT_RUN
            if not _comes_back(reply, due):
                break
            if elapsed + reply.retry_seconds > stream.patience_seconds:
                break
            await asyncio.sleep(reply.retry_seconds)
        self.rows.append(
            LoadRow(
                slice_number=stream.slice_number,
                service=stream.service,
                request_id=request_id,
                due_seconds=due.due_seconds,
                late_seconds=late,
                latency_seconds=elapsed,
                told=reply.told,
                status=reply.status,
                tries=tries,
                always_not_run=always_not_run,
            ),
        )

    async def _try(
        self,
        stream: Stream,
        due: DueRequest,
        entry: tuple[str, int],
        request_id: str,
    ) -> Reply:
        assert self.session is not None
        host, port = entry
        service_ms = due.service_seconds * _MILLISECONDS
        deadline_ms = int(stream.deadline_seconds * _MILLISECONDS)
        headers = {
            'X-Request-Id': request_id,
            'Standin-Service-Ms': f'{service_ms:.3f}',
            'Zinniaturn-Deadline-Ms': str(deadline_ms),
        }
        try:
            async with self.session.request(
                'POST' if due.is_post else 'GET',
                f'http://{host}:{port}{stream.path}',
                headers=headers,
                data=b'x' if due.is_post else None,
                timeout=aiohttp.ClientTimeout(stream.deadline_seconds + 1),
            ) as response:
                await response.read()
                return _reply_of(response)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return Reply(_NOTHING, 0, _DEFAULT_RETRY_SECONDS)


def _wait_for_start(path: Path) -> float:
    while not path.exists():
        time.sleep(_POLL_SECONDS)
    return float(path.read_text())


def due_requests(
    stream: Stream,
    source: random.Random,
) -> Iterator[DueRequest]:
    """Yield the requests of a stream: Poisson arrivals at its rates."""
    workload = Workload(
        service=stream.service,
        servers=0,
        slots=0,
        mean_seconds=stream.mean_seconds,
        sigma=stream.sigma,
        long_share=stream.long_share,
        long_factor=stream.long_factor,
    )
    number = 0
    for (begins, rate), (ends, _) in zip(
        stream.rates,
        stream.rates[1:],
        strict=False,
    ):
        due = begins + source.expovariate(rate)
        while due < ends:
            yield DueRequest(
                number,
                due,
                workload.draw_seconds(source),
                source.random() < stream.post_share,
            )
            number += 1
            due += source.expovariate(rate)


def _reply_of(response: aiohttp.ClientResponse) -> Reply:
    told = response.headers.get('Zinniaturn-Outcome', _ANSWERED)
    retry_ms = response.headers.get('Zinniaturn-Retry-After-Ms')
    retry_seconds = _DEFAULT_RETRY_SECONDS
    if retry_ms is not None:
        retry_seconds = int(retry_ms) / _MILLISECONDS
    return Reply(told, response.status, retry_seconds)


def _comes_back(reply: Reply, due: DueRequest) -> bool:
    if reply.told == _ANSWERED and reply.status < _SUCCESS_BELOW:
        return False
    return reply.told == _NOT_RUN or not due.is_post
