"""
What VMs tell each other: heartbeats by datagram, state on demand.

A heartbeat names the state that its sender holds and how old it is. Whoever
holds the same state is confirmed by it; whoever holds another fetches what it
lacks, after a short random pause and from any VM that holds the new state by
then, so that not all of them ask the one that read it first.
"""

__all__ = ('GossipProtocol', 'StateService')

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from zinniaturn.fleet.domain import VmRecord, VmStage
from zinniaturn.fleet.exceptions import PeerMessageError
from zinniaturn.fleet.fleet_state import FleetState, StateFingerprint
from zinniaturn.fleet.messages import (
    PROTOCOL_VERSION,
    Heartbeat,
    RecordRow,
    build_state_message,
    decode_heartbeat,
    decode_state,
    encode_message,
    snapshot_from_message,
)
from zinniaturn.fleet.vms import VmTable
from zinniaturn.http1.backend import Exchange
from zinniaturn.http1.connections import ConnectionPool
from zinniaturn.http1.exceptions import ConnectFailedError, ExchangeBrokenError
from zinniaturn.http1.exchanges import CallerExchange, Reply
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import Response

_FETCH_SECONDS = 0.8
_SPREAD_A_VM = 0.003
_LONGEST_SPREAD_SECONDS = 0.3
_TRANSIT_SECONDS = 0.005
_STOP_REPEATS = 3
_MILLISECONDS = 1000
_STATE_PATH = b'/state?held='


@dataclass(slots=True)
class GossipProtocol(asyncio.DatagramProtocol):
    """Sends heartbeats to the other VMs and takes theirs."""

    own: VmRecord
    fleet_state: FleetState
    vms: VmTable
    connections: ConnectionPool
    stage: Callable[[], VmStage]
    load: Callable[[], int]
    on_peer_error: Callable[[str], None]
    transport: asyncio.DatagramTransport | None = None
    fetching: 'asyncio.Task[None] | None' = None
    source: random.Random = field(default_factory=random.Random)
    holders: dict[str, VmRecord] = field(default_factory=dict)
    wanted_revision: int = 0

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
            self.send_heartbeats()
            await asyncio.sleep(self.vms.heartbeat_seconds)

    def send_heartbeats(self) -> None:
        """Tell every known VM what this one holds."""
        payload = self._heartbeat()
        for known in self.vms.vms.values():
            self._send(payload, known.record)

    async def announce_stopping(self) -> None:
        """Tell it several times, as a datagram may be lost."""
        for _ in range(_STOP_REPEATS):
            self.send_heartbeats()
            await asyncio.sleep(_TRANSIT_SECONDS)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a heartbeat."""
        try:
            heartbeat = decode_heartbeat(data)
        except PeerMessageError as error:
            self.on_peer_error(f'{addr[0]}: {error.message}')
            return
        record = heartbeat.record
        if self.vms.record_heartbeat(record, heartbeat.stage, heartbeat.load):
            self._send(self._heartbeat(), record)
        self._compare(heartbeat)

    def error_received(self, exc: Exception) -> None:
        """Pass over a VM that is not there; its silence says the same."""

    def close(self) -> None:
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()
        if self.fetching is not None:
            self.fetching.cancel()

    def _compare(self, heartbeat: Heartbeat) -> None:
        """Be confirmed by a heartbeat, or fetch the newer state it names."""
        age = heartbeat.age_ms / _MILLISECONDS + _TRANSIT_SECONDS
        requested_at = self.fleet_state.clock.monotonic() - age
        if requested_at <= self.fleet_state.confirmed_at:
            return
        if heartbeat.digest == self.fleet_state.digest:
            self.fleet_state.confirm(heartbeat.revision, requested_at)
        elif heartbeat.revision > self.fleet_state.revision:
            self._note_holder(heartbeat)

    def _note_holder(self, heartbeat: Heartbeat) -> None:
        """Remember who holds a newer state, and see that it is fetched."""
        if heartbeat.revision > self.wanted_revision:
            self.wanted_revision = heartbeat.revision
            self.holders.clear()
        record = heartbeat.record
        self.holders[record.name] = record
        if self.fetching is None:
            self.fetching = asyncio.ensure_future(self._fetch())
            self.fetching.add_done_callback(self._end_fetch)

    def _end_fetch(self, task: 'asyncio.Task[None]') -> None:
        self.fetching = None
        if not task.cancelled() and task.exception() is not None:
            self.on_peer_error(repr(task.exception()))

    async def _fetch(self) -> None:
        """Fetch from a VM that holds the newer state."""
        await asyncio.sleep(self.source.uniform(0, self._spread_seconds()))
        if self.fleet_state.revision >= self.wanted_revision:
            return
        record = self.source.choice(list(self.holders.values()))
        self.holders.pop(record.name)
        try:
            async with asyncio.timeout(_FETCH_SECONDS):
                answer = await self._ask(record)
        except (TimeoutError, ExchangeBrokenError, ConnectFailedError) as error:
            self.on_peer_error(f'{record.name}: {error!r}')
            return
        self._take(answer)

    def _spread_seconds(self) -> float:
        """Return how long fetches are spread, longer in a larger fleet."""
        return min(_LONGEST_SPREAD_SECONDS, _SPREAD_A_VM * self.vms.max_size())

    async def _ask(self, record: VmRecord) -> Response:
        host, port = record.exchange
        address = host, port + 1
        held = self.fleet_state.fingerprint
        payload = b'GET %b%d,%d,%d HTTP/1.1\r\nHost: %b\r\n\r\n' % (
            _STATE_PATH,
            held.tables,
            held.servers,
            held.vms,
            host.encode(),
        )
        loop = asyncio.get_running_loop()
        connection = self.connections.take_idle(address, loop.time())
        if connection is None:
            connection = await self.connections.connect(address, _FETCH_SECONDS)
        try:
            answer = await connection.send(Exchange(payload, b'-'))
        except BaseException:
            connection.close()
            raise
        self.connections.release(address, connection, answer)
        return answer

    def _take(self, answer: Response) -> None:
        try:
            state, content = decode_state(answer.body)
        except PeerMessageError as error:
            self.on_peer_error(error.message)
            return
        if state.revision <= self.fleet_state.revision:
            return
        reading = snapshot_from_message(state, content, self.fleet_state)
        if reading is None:
            return
        age = state.age_ms / _MILLISECONDS + _TRANSIT_SECONDS
        requested_at = self.fleet_state.clock.monotonic() - age
        self.fleet_state.install(reading, requested_at)
        self.send_heartbeats()

    def _send(self, payload: bytes, record: VmRecord) -> None:
        if self.transport is not None:
            self.transport.sendto(payload, record.exchange)

    def _heartbeat(self) -> bytes:
        return encode_message(
            Heartbeat(
                PROTOCOL_VERSION,
                RecordRow.of(self.own),
                self.stage(),
                self.fleet_state.revision,
                self.fleet_state.digest,
                max(0, self.fleet_state.age_ms) + 1,
                self.load(),
            ),
        )


@dataclass(slots=True)
class StateService:
    """Answers other VMs that ask for the state."""

    fleet_state: FleetState
    limits: CallerLimits = field(default_factory=CallerLimits)
    is_stopping: bool = False

    def handle(
        self,
        exchange: CallerExchange,
    ) -> Reply:
        """Return the state that is held."""
        held = _held_parts(exchange.request.target)
        if held is None:
            return Response(404, b'', [])
        state = build_state_message(self.fleet_state, held)
        return Response(200, b'', [], encode_message(state))


def _held_parts(target: bytes) -> StateFingerprint | None:
    """Return the parts that an asker holds, or ``None`` for another path."""
    if not target.startswith(_STATE_PATH):
        return None
    try:
        tables, servers, vms = target.removeprefix(_STATE_PATH).split(b',')
        return StateFingerprint(int(tables), int(servers), int(vms))
    except ValueError:
        return None
