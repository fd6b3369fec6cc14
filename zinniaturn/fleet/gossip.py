"""
Gossip between VMs: heartbeats as datagrams, and the fleet state on request.

A heartbeat identifies the state that its sender holds and says how old it is.
A receiver with the same state takes it as confirmed. A receiver with another
state fetches the parts it lacks, after a short random delay and from any VM
that holds the new state by then, so that not all VMs ask the one that read
the store first.
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

_FETCH_TIMEOUT_SECONDS = 0.8
_FETCH_DELAY_SECONDS_PER_VM = 0.003
_MAX_FETCH_DELAY_SECONDS = 0.3
_NETWORK_DELAY_SECONDS = 0.005
_STOPPING_HEARTBEATS = 3
_MS_PER_SECOND = 1000
_STATE_PATH = b'/state?held='


@dataclass(slots=True)
class GossipProtocol(asyncio.DatagramProtocol):
    """
    Exchanges heartbeats with the other VMs and fetches newer states.

    ``holders`` are the VMs known to hold the state of ``wanted_revision``.
    ``on_peer_error`` is called with the description of each invalid message
    and failed fetch.
    """

    own: VmRecord
    fleet_state: FleetState
    vms: VmTable
    connections: ConnectionPool
    stage: Callable[[], VmStage]
    load: Callable[[], int]
    on_peer_error: Callable[[str], None]
    transport: asyncio.DatagramTransport | None = None
    fetch_task: 'asyncio.Task[None] | None' = None
    random_source: random.Random = field(default_factory=random.Random)
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
        """Send a heartbeat to every known VM."""
        payload = self._encode_heartbeat()
        for peer in self.vms.vms.values():
            self._send(payload, peer.record)

    async def announce_stopping(self) -> None:
        """Send several heartbeats, since datagrams can be lost."""
        for _ in range(_STOPPING_HEARTBEATS):
            self.send_heartbeats()
            await asyncio.sleep(_NETWORK_DELAY_SECONDS)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a heartbeat."""
        try:
            heartbeat = decode_heartbeat(data)
        except PeerMessageError as error:
            self.on_peer_error(f'{addr[0]}: {error.message}')
            return
        record = heartbeat.record
        if self.vms.record_heartbeat(record, heartbeat.stage, heartbeat.load):
            self._send(self._encode_heartbeat(), record)
        self._compare_state(heartbeat)

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable VMs; their missing heartbeats show the same."""

    def close(self) -> None:
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()
        if self.fetch_task is not None:
            self.fetch_task.cancel()

    def _compare_state(self, heartbeat: Heartbeat) -> None:
        """Confirm the own state by a heartbeat, or fetch the newer state."""
        age = heartbeat.age_ms / _MS_PER_SECOND + _NETWORK_DELAY_SECONDS
        requested_at = self.fleet_state.clock.monotonic() - age
        if requested_at <= self.fleet_state.confirmed_at:
            return
        if heartbeat.digest == self.fleet_state.digest:
            self.fleet_state.confirm(heartbeat.revision, requested_at)
        elif heartbeat.revision > self.fleet_state.revision:
            self._schedule_fetch(heartbeat)

    def _schedule_fetch(self, heartbeat: Heartbeat) -> None:
        """Record the holder of a newer state and start a fetch if none runs."""
        if heartbeat.revision > self.wanted_revision:
            self.wanted_revision = heartbeat.revision
            self.holders.clear()
        record = heartbeat.record
        self.holders[record.name] = record
        if self.fetch_task is None:
            self.fetch_task = asyncio.ensure_future(self._fetch_state())
            self.fetch_task.add_done_callback(self._on_fetch_done)

    def _on_fetch_done(self, task: 'asyncio.Task[None]') -> None:
        self.fetch_task = None
        if not task.cancelled() and task.exception() is not None:
            self.on_peer_error(repr(task.exception()))

    async def _fetch_state(self) -> None:
        """Fetch from a random VM that holds the newer state."""
        await asyncio.sleep(
            self.random_source.uniform(0, self._max_fetch_delay())
        )
        if self.fleet_state.revision >= self.wanted_revision:
            return
        record = self.random_source.choice(list(self.holders.values()))
        self.holders.pop(record.name)
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_SECONDS):
                response = await self._request_state(record)
        except (TimeoutError, ExchangeBrokenError, ConnectFailedError) as error:
            self.on_peer_error(f'{record.name}: {error!r}')
            return
        self._install_state(response)

    def _max_fetch_delay(self) -> float:
        """Return the longest delay in seconds; it grows with the fleet."""
        return min(
            _MAX_FETCH_DELAY_SECONDS,
            _FETCH_DELAY_SECONDS_PER_VM * self.vms.max_size(),
        )

    async def _request_state(self, record: VmRecord) -> Response:
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
            connection = await self.connections.connect(
                address,
                _FETCH_TIMEOUT_SECONDS,
            )
        try:
            response = await connection.send(Exchange(payload, b'-'))
        except BaseException:
            connection.close()
            raise
        self.connections.release(address, connection, response)
        return response

    def _install_state(self, response: Response) -> None:
        try:
            state, content = decode_state(response.body)
        except PeerMessageError as error:
            self.on_peer_error(error.message)
            return
        if state.revision <= self.fleet_state.revision:
            return
        snapshot = snapshot_from_message(state, content, self.fleet_state)
        if snapshot is None:
            return
        age = state.age_ms / _MS_PER_SECOND + _NETWORK_DELAY_SECONDS
        requested_at = self.fleet_state.clock.monotonic() - age
        self.fleet_state.install(snapshot, requested_at)
        self.send_heartbeats()

    def _send(self, payload: bytes, record: VmRecord) -> None:
        if self.transport is not None:
            self.transport.sendto(payload, record.exchange)

    def _encode_heartbeat(self) -> bytes:
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
    """Serves the fleet state to other VMs."""

    fleet_state: FleetState
    limits: CallerLimits = field(default_factory=CallerLimits)
    is_stopping: bool = False

    def handle(
        self,
        exchange: CallerExchange,
    ) -> Reply:
        """Return the parts of the state that the requester lacks."""
        held = _parse_held_fingerprint(exchange.request.target)
        if held is None:
            return Response(404, b'', [])
        state = build_state_message(self.fleet_state, held)
        return Response(200, b'', [], encode_message(state))


def _parse_held_fingerprint(target: bytes) -> StateFingerprint | None:
    """Return the requester's fingerprint, or ``None`` for another path."""
    if not target.startswith(_STATE_PATH):
        return None
    try:
        tables, servers, vms = target.removeprefix(_STATE_PATH).split(b',')
        return StateFingerprint(int(tables), int(servers), int(vms))
    except ValueError:
        return None
