"""
What VMs tell each other: heartbeats by datagram, state on demand.

A heartbeat names the state that its sender holds and how old it is. Whoever
holds the same state is confirmed by it; whoever holds another fetches it.
"""

__all__ = ('PeerExchange', 'StateService')

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from zinniaturn.fleet.domain import VmRecord, VmStage
from zinniaturn.fleet.exceptions import PeerMessageError
from zinniaturn.fleet.knowledge import Knowledge
from zinniaturn.fleet.messages import (
    PROTOCOL_VERSION,
    Beat,
    decode_beat,
    decode_state,
    encode_message,
    reading_of,
    state_of,
)
from zinniaturn.fleet.vms import VmTable
from zinniaturn.http1.backend import Exchange
from zinniaturn.http1.callers import Exchange as CallerExchange
from zinniaturn.http1.connections import Connections
from zinniaturn.http1.exceptions import ConnectFailedError, ExchangeBrokenError
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import Response

_FETCH_SECONDS = 0.4
_TRANSIT_SECONDS = 0.005
_STOP_REPEATS = 3
_MILLISECONDS = 1000
_STATE_PATH = b'/state?held='


@dataclass(slots=True)
class PeerExchange(asyncio.DatagramProtocol):
    """Sends heartbeats to the other VMs and takes theirs."""

    own: VmRecord
    knowledge: Knowledge
    vms: VmTable
    connections: Connections
    stage: Callable[[], VmStage]
    on_refused: Callable[[str], None]
    transport: asyncio.DatagramTransport | None = None
    fetching: 'asyncio.Task[None] | None' = None
    fetched: int = 0
    sent: int = field(default=0)

    async def start(self) -> None:
        """Listen for datagrams; raises `OSError`."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=self.own.exchange,
        )
        self.transport = transport

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_beats()
            await asyncio.sleep(self.vms.beat_seconds)

    def send_beats(self) -> None:
        """Tell every known VM what this one holds."""
        payload = self._beat()
        for known in self.vms.vms.values():
            self._send(payload, known.record)

    async def say_stopping(self) -> None:
        """Tell it several times, as a datagram may be lost."""
        for _ in range(_STOP_REPEATS):
            self.send_beats()
            await asyncio.sleep(_TRANSIT_SECONDS)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a heartbeat."""
        try:
            beat = decode_beat(data)
        except PeerMessageError as error:
            self.on_refused(f'{addr[0]}: {error.message}')
            return
        if self.vms.note_beat(beat.record, beat.stage):
            self._send(self._beat(), beat.record)
        self._compare(beat)

    def error_received(self, exc: Exception) -> None:
        """Pass over a VM that is not there; its silence says the same."""

    def close(self) -> None:
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()
        if self.fetching is not None:
            self.fetching.cancel()

    def _compare(self, beat: Beat) -> None:
        """Be confirmed by a heartbeat, or fetch the newer state it names."""
        age = beat.age_ms / _MILLISECONDS + _TRANSIT_SECONDS
        asked_at = self.knowledge.clock.monotonic() - age
        if asked_at <= self.knowledge.confirmed_at:
            return
        if beat.digest == self.knowledge.digest:
            self.knowledge.confirm(beat.revision, asked_at)
        elif beat.revision > self.knowledge.revision and self.fetching is None:
            self.fetching = asyncio.ensure_future(self._fetch(beat.record))
            self.fetching.add_done_callback(self._end_fetch)

    def _end_fetch(self, task: 'asyncio.Task[None]') -> None:
        self.fetching = None
        if not task.cancelled() and task.exception() is not None:
            self.on_refused(repr(task.exception()))

    async def _fetch(self, record: VmRecord) -> None:
        host, port = record.exchange
        address = host, port + 1
        held = (
            self.knowledge.document.revision if self.knowledge.document else 0
        )
        payload = b'GET %b%d HTTP/1.1\r\nHost: %b\r\n\r\n' % (
            _STATE_PATH,
            held,
            host.encode(),
        )
        loop = asyncio.get_running_loop()
        connection = self.connections.take(address, loop.time())
        try:
            async with asyncio.timeout(_FETCH_SECONDS):
                if connection is None:
                    connection = await self.connections.connect(
                        address,
                        _FETCH_SECONDS,
                    )
                answer = await connection.send(Exchange(payload, b'-'))
        except (TimeoutError, ExchangeBrokenError, ConnectFailedError) as error:
            if connection is not None:
                connection.close()
            self.on_refused(f'{record.name}: {error!r}')
            return
        self.connections.give_back(address, connection, answer)
        self._take(answer)

    def _take(self, answer: Response) -> None:
        try:
            state = decode_state(answer.body)
        except PeerMessageError as error:
            self.on_refused(error.message)
            return
        age = state.age_ms / _MILLISECONDS + _TRANSIT_SECONDS
        asked_at = self.knowledge.clock.monotonic() - age
        if state.revision > self.knowledge.revision:
            self.fetched += 1
            self.knowledge.install(reading_of(state), asked_at)
            self.send_beats()

    def _send(self, payload: bytes, record: VmRecord) -> None:
        if self.transport is not None:
            self.sent += 1
            self.transport.sendto(payload, record.exchange)

    def _beat(self) -> bytes:
        age = min(self.knowledge.age_seconds, 1e6)
        return encode_message(
            Beat(
                PROTOCOL_VERSION,
                self.own,
                self.stage(),
                self.knowledge.revision,
                self.knowledge.digest,
                max(0, int(age * _MILLISECONDS)) + 1,
            ),
        )


@dataclass(slots=True)
class StateService:
    """Answers other VMs that ask for the state."""

    knowledge: Knowledge
    limits: CallerLimits = field(default_factory=CallerLimits)
    is_stopping: bool = False

    def handle(
        self,
        exchange: CallerExchange,
    ) -> Response | Coroutine[None, None, Response]:
        """Return the state that is held."""
        target = exchange.request.target
        held = target.removeprefix(_STATE_PATH)
        if not (target.startswith(_STATE_PATH) and held.isdigit()):
            return Response(404, b'', [])
        state = state_of(self.knowledge, int(held))
        return Response(200, b'', [], encode_message(state))
