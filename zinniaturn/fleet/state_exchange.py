"""
Transfer of the fleet state and the VM table between VMs.

A VM that holds an older state fetches the parts that it lacks from one that
holds the newer state, after a short random delay and rather from a VM of its
own data centre, so that not all VMs ask the one that read the store first.
"""

__all__ = ('StateFetcher', 'StateService')

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from zinniaturn.fleet.domain import VmRecord, VmStatus
from zinniaturn.fleet.exceptions import PeerMessageError
from zinniaturn.fleet.fleet_state import FleetState, StateFingerprint
from zinniaturn.fleet.messages import (
    decode_state,
    encode_message,
    snapshot_from_message,
)
from zinniaturn.fleet.state_packing import StatePacker
from zinniaturn.fleet.status_rows import decode_statuses, encode_statuses
from zinniaturn.fleet.vms import VmTable, list_statuses
from zinniaturn.http1.backend import Exchange
from zinniaturn.http1.connections import ConnectionPool
from zinniaturn.http1.exceptions import ConnectFailedError, ExchangeBrokenError
from zinniaturn.http1.exchanges import CallerExchange, Reply
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import Response, find_field

NETWORK_DELAY_SECONDS = 0.005

_FETCH_TIMEOUT_SECONDS = 0.8
_FETCH_DELAY_SECONDS_PER_VM = 0.003
_MAX_FETCH_DELAY_SECONDS = 0.3
_MS_PER_SECOND = 1000
_STATE_PATH = b'/state?held='
_VMS_PATH = b'/vms'
# A requester that sends it knows the eras of the store.
_FOLLOWS_ERAS = b'zinniaturn-eras'


@dataclass(slots=True)
class StateFetcher:
    """
    Fetches newer states and VM tables, at most one of each at a time.

    ``holders`` are the VMs known to hold the state of ``wanted_revision``, and
    ``evacuations_holders`` those that know the evacuations as of
    ``wanted_evacuations``. Each of these tells the rest of its state as well.
    ``on_state`` is called after a newer state was installed, and ``on_vms``
    with the statuses of a fetched table. ``on_peer_error`` is called with the
    description of each failed fetch.
    """

    own: VmRecord
    fleet_state: FleetState
    vms: VmTable
    connections: ConnectionPool
    random_source: random.Random
    on_state: Callable[[], None]
    on_vms: Callable[[list[VmStatus]], None]
    on_peer_error: Callable[[str], None]
    state_task: 'asyncio.Task[None] | None' = None
    vms_task: 'asyncio.Task[None] | None' = None
    holders: dict[str, VmRecord] = field(default_factory=dict)
    wanted_revision: int = 0
    evacuations_holders: dict[str, VmRecord] = field(default_factory=dict)
    wanted_evacuations: int = 0

    def want_state(self, revision: int, holder: VmRecord) -> None:
        """Note the holder of a newer state and start a fetch if none runs."""
        if revision > self.wanted_revision:
            self.wanted_revision = revision
            self.holders.clear()
        self.holders[holder.name] = holder
        self._start_state_fetch()

    def want_evacuations(self, revision: int, holder: VmRecord) -> None:
        """Note who knows newer evacuations and start a fetch if none runs."""
        if revision > self.wanted_evacuations:
            self.wanted_evacuations = revision
            self.evacuations_holders.clear()
        self.evacuations_holders[holder.name] = holder
        self._start_state_fetch()

    def _start_state_fetch(self) -> None:
        if self.state_task is None:
            self.state_task = self._start(self._fetch_state())
            self.state_task.add_done_callback(self._on_state_done)

    def want_vms(self, holder: VmRecord) -> None:
        """Start fetching another VM's table, unless a fetch runs."""
        if self.vms_task is None:
            self.vms_task = self._start(self._fetch_vms(holder))
            self.vms_task.add_done_callback(self._on_vms_done)

    def close(self) -> None:
        """Cancel the running fetches."""
        for task in (self.state_task, self.vms_task):
            if task is not None:
                task.cancel()

    def _start(
        self, fetch: Coroutine[None, None, None]
    ) -> 'asyncio.Task[None]':
        task = asyncio.ensure_future(fetch)
        task.add_done_callback(self._report_exception)
        return task

    def _report_exception(self, task: 'asyncio.Task[None]') -> None:
        if not task.cancelled() and task.exception() is not None:
            self.on_peer_error(repr(task.exception()))

    def _on_state_done(self, task: 'asyncio.Task[None]') -> None:
        self.state_task = None

    def _on_vms_done(self, task: 'asyncio.Task[None]') -> None:
        self.vms_task = None

    async def _fetch_state(self) -> None:
        """Fetch from a VM that holds the newer state."""
        await asyncio.sleep(
            self.random_source.uniform(0, self._max_fetch_delay())
        )
        holders = self._holders()
        if not holders:
            return
        record = self._choose_holder(holders)
        holders.pop(record.name)
        held = self.fleet_state.fingerprint
        target = b'%b%d,%d,%d' % (
            _STATE_PATH,
            held.tables,
            held.servers,
            held.vms,
        )
        sent_at = self.fleet_state.clock.monotonic()
        response = await self._request(record, target)
        if response is not None:
            self._install_state(response, sent_at)

    async def _fetch_vms(self, record: VmRecord) -> None:
        response = await self._request(record, _VMS_PATH)
        if response is None:
            return
        try:
            statuses = decode_statuses(response.body)
        except PeerMessageError as error:
            self.on_peer_error(f'{record.name}: {error.message}')
            return
        self.on_vms(statuses)

    def _holders(self) -> dict[str, VmRecord]:
        """Return the VMs to fetch from; there are none if nothing is newer."""
        evacuations = self.fleet_state.evacuations
        is_behind = evacuations.revision < self.wanted_evacuations
        if evacuations.is_followed and is_behind and self.evacuations_holders:
            return self.evacuations_holders
        if self.fleet_state.revision < self.wanted_revision:
            return self.holders
        return {}

    def _choose_holder(self, holders: dict[str, VmRecord]) -> VmRecord:
        """Return a random holder, of the own data centre if there is one."""
        near = [
            record
            for record in holders.values()
            if record.data_center == self.own.data_center
        ]
        return self.random_source.choice(near or list(holders.values()))

    def _max_fetch_delay(self) -> float:
        """Return the longest delay in seconds; it grows with the fleet."""
        if self.fleet_state.document is None:
            return 0
        return min(
            _MAX_FETCH_DELAY_SECONDS,
            _FETCH_DELAY_SECONDS_PER_VM * self.vms.max_size(),
        )

    async def _request(
        self, record: VmRecord, target: bytes
    ) -> Response | None:
        """Return a VM's response, or ``None`` if it gave none in time."""
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_SECONDS):
                return await self._exchange(record, target)
        except (TimeoutError, ExchangeBrokenError, ConnectFailedError) as error:
            self.on_peer_error(f'{record.name}: {error!r}')
            return None

    async def _exchange(self, record: VmRecord, target: bytes) -> Response:
        host, port = record.exchange
        address = host, port + 1
        payload = b'GET %b HTTP/1.1\r\nHost: %b\r\n%b: 1\r\n\r\n' % (
            target,
            host.encode(),
            _FOLLOWS_ERAS,
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

    def _install_state(self, response: Response, sent_at: float) -> None:
        """
        Install a state that was requested at ``sent_at``.

        The state's age is as of when it was sent, which was then or later; the
        response may have waited since, while this VM was paused.
        """
        try:
            state, content = decode_state(response.body)
        except PeerMessageError as error:
            self.on_peer_error(error.message)
            return
        told = content.evacuations
        sent_at -= NETWORK_DELAY_SECONDS
        if told is not None:
            self.fleet_state.install_evacuations(told.news(sent_at))
        if state.revision > self.fleet_state.revision:
            snapshot = snapshot_from_message(state, content, self.fleet_state)
            if snapshot is None:
                return
            age = state.age_ms / _MS_PER_SECOND
            self.fleet_state.install(snapshot, sent_at - age)
        elif told is None:
            return
        if state.proof_age_ms is not None:
            self.fleet_state.proof.prove(
                content.parts.tables,
                sent_at - state.proof_age_ms / _MS_PER_SECOND,
            )
        self.on_state()


@dataclass(slots=True)
class StateService:
    """Serves the fleet state and the VM table to other VMs."""

    packer: StatePacker
    vms: VmTable
    limits: CallerLimits = field(default_factory=CallerLimits)
    is_stopping: bool = False

    def handle(self, exchange: CallerExchange) -> Reply:
        """
        Return the parts of the state that the requester lacks.

        One that is no VM of the fleet, or not known yet, lacks all of them.
        """
        target = exchange.request.target
        if target == _VMS_PATH:
            return Response(
                200, b'', [], encode_statuses(list_statuses(self.vms))
            )
        held = _parse_held_fingerprint(target)
        if held is None:
            return Response(404, b'', [])
        host = exchange.peer_host
        peers = [
            peer
            for peer in self.vms.vms.values()
            if peer.record.exchange[0] == host
        ]
        # Builds that know eras, but not the field, say so in datagrams.
        field_value = find_field(exchange.request.fields, _FOLLOWS_ERAS)
        follows_eras = field_value is not None or any(
            peer.follows_eras for peer in peers
        )
        state = self.packer.build(
            held if peers else StateFingerprint(), follows_eras
        )
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
