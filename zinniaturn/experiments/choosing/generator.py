"""
Open-loop load generator, run as a process of its own.

A request is sent at its scheduled time, whether or not earlier ones have
ended. Latency is measured from the scheduled time, so it includes any delay of
the generator itself. A request that was not run or is idempotent is retried
until it succeeds or its overall time limit passes.
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

_POLL_INTERVAL_SECONDS = 0.01
_MILLISECONDS_PER_SECOND = 1000
_DEFAULT_RETRY_DELAY_SECONDS = 0.1
_OUTCOME_ANSWERED = 'answered'
_OUTCOME_NO_RESPONSE = 'nothing'
_OUTCOME_NOT_RUN = 'not-run'
_MIN_ERROR_STATUS = 500


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """A request with its scheduled offset and its service time."""

    number: int
    due_seconds: float
    service_seconds: float
    is_post: bool


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of one attempt; a status of 0 means no response."""

    outcome: str
    status: int
    retry_delay_seconds: float


def run_generator(order_path: Path, rows_path: Path) -> None:
    """
    Read a load order, send its requests and write the rows to a file.

    The generator signals that it is ready by an empty ``.ready`` file. It then
    waits for the start file in the same folder, which is written once all
    generators are ready and holds the monotonic time at which the run starts.
    """
    order = msgspec.json.decode(order_path.read_bytes(), type=LoadOrder)
    order_path.with_suffix('.ready').touch()
    started_at = _wait_for_start_time(order_path.with_name(START_FILE))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        rows = runner.run(Generator(order, started_at).run())
    rows_path.write_bytes(msgspec.json.encode(rows))


class Generator:
    """Sends the requests of all streams of a load order."""

    def __init__(self, order: LoadOrder, started_at: float) -> None:
        self.order = order
        self.started_at = started_at
        self.rows: list[LoadRow] = []
        self.session: aiohttp.ClientSession | None = None

    async def run(self) -> list[LoadRow]:
        """Send all requests and return their rows once the last has ended."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            # Every attempt is counted here, so aiohttp must not resend any.
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
        random_source = random.Random(f'{stream.seed}/{self.order.generator}')
        for request in schedule_requests(stream, random_source):
            due_at = self.started_at + stream.starts_after + request.due_seconds
            delay = due_at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            entries = self.order.entries
            entry = entries[random_source.randrange(len(entries))]
            group.create_task(self._send_with_retries(stream, request, entry))

    async def _send_with_retries(
        self,
        stream: Stream,
        request: ScheduledRequest,
        entry: tuple[str, int],
    ) -> None:
        due_at = self.started_at + stream.starts_after + request.due_seconds
        send_delay = time.monotonic() - due_at
        kind = 'post' if request.is_post else 'get'
        generator = self.order.generator
        slice_id = stream.slice_number
        request_id = (
            f'{kind}-{generator}-{slice_id}-{stream.service}-{request.number}'
        )
        attempts = 0
        always_not_run = True
        while True:
            attempts += 1
            result = await self._send_attempt(
                stream, request, entry, request_id
            )
            elapsed = time.monotonic() - due_at
            always_not_run = (
                always_not_run and result.outcome == _OUTCOME_NOT_RUN
            )
            if not _should_retry(result, request):
                break
            if elapsed + result.retry_delay_seconds > stream.patience_seconds:
                break
            await asyncio.sleep(result.retry_delay_seconds)
        self.rows.append(
            LoadRow(
                slice_number=stream.slice_number,
                service=stream.service,
                request_id=request_id,
                due_seconds=request.due_seconds,
                late_seconds=send_delay,
                latency_seconds=elapsed,
                told=result.outcome,
                status=result.status,
                tries=attempts,
                always_not_run=always_not_run,
            ),
        )

    async def _send_attempt(
        self,
        stream: Stream,
        request: ScheduledRequest,
        entry: tuple[str, int],
        request_id: str,
    ) -> AttemptResult:
        assert self.session is not None
        host, port = entry
        service_ms = request.service_seconds * _MILLISECONDS_PER_SECOND
        deadline_ms = int(stream.deadline_seconds * _MILLISECONDS_PER_SECOND)
        headers = {
            'X-Request-Id': request_id,
            'Standin-Service-Ms': f'{service_ms:.3f}',
            'Zinniaturn-Deadline-Ms': str(deadline_ms),
        }
        try:
            async with self.session.request(
                'POST' if request.is_post else 'GET',
                f'http://{host}:{port}{stream.path}',
                headers=headers,
                data=b'x' if request.is_post else None,
                timeout=aiohttp.ClientTimeout(stream.deadline_seconds + 1),
            ) as response:
                await response.read()
                return _parse_response(response)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return AttemptResult(
                _OUTCOME_NO_RESPONSE, 0, _DEFAULT_RETRY_DELAY_SECONDS
            )


def _wait_for_start_time(path: Path) -> float:
    while not path.exists():
        time.sleep(_POLL_INTERVAL_SECONDS)
    return float(path.read_text())


def schedule_requests(
    stream: Stream,
    random_source: random.Random,
) -> Iterator[ScheduledRequest]:
    """Yield the requests of a stream as Poisson arrivals at its rates."""
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
    for (start_seconds, rate), (end_seconds, _) in zip(
        stream.rates,
        stream.rates[1:],
        strict=False,
    ):
        due_seconds = start_seconds + random_source.expovariate(rate)
        while due_seconds < end_seconds:
            yield ScheduledRequest(
                number,
                due_seconds,
                workload.draw_service_seconds(random_source),
                random_source.random() < stream.post_share,
            )
            number += 1
            due_seconds += random_source.expovariate(rate)


def _parse_response(response: aiohttp.ClientResponse) -> AttemptResult:
    outcome = response.headers.get('Zinniaturn-Outcome', _OUTCOME_ANSWERED)
    retry_ms = response.headers.get('Zinniaturn-Retry-After-Ms')
    retry_delay_seconds = _DEFAULT_RETRY_DELAY_SECONDS
    if retry_ms is not None:
        retry_delay_seconds = int(retry_ms) / _MILLISECONDS_PER_SECOND
    return AttemptResult(outcome, response.status, retry_delay_seconds)


def _should_retry(result: AttemptResult, request: ScheduledRequest) -> bool:
    if (
        result.outcome == _OUTCOME_ANSWERED
        and result.status < _MIN_ERROR_STATUS
    ):
        return False
    return result.outcome == _OUTCOME_NOT_RUN or not request.is_post
