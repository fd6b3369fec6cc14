"""
Gossip between VMs by datagrams: liveness, news of other VMs and state versions.

Every datagram identifies the state that its sender holds and says how old it
is. A receiver with the same state takes it as confirmed, one with another state
fetches the newer one. Datagrams also carry the latest changes of other VMs'
statuses. A VM whose state was just confirmed, or that learned that a VM stops
or died, pushes this to a few others at once, which do the same.

A VM sends and receives about 25 datagrams a second in a fleet of any size.
"""

__all__ = ('GossipProtocol',)

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from zinniaturn.admission.admission import Admission
from zinniaturn.admission.table import AdmissionTable
from zinniaturn.fleet.alive_vms import PeerVm
from zinniaturn.fleet.crash_news import CrashNews
from zinniaturn.fleet.datagrams import (
    Datagram,
    DatagramKind,
    decode_datagram,
)
from zinniaturn.fleet.domain import VmRecord, VmStage
from zinniaturn.fleet.evacuations import Verdict
from zinniaturn.fleet.exceptions import PeerMessageError
from zinniaturn.fleet.failure_detection import FailureDetector
from zinniaturn.fleet.fleet_state import FleetState
from zinniaturn.fleet.gossip_sender import GossipSender
from zinniaturn.fleet.news import NewsReceiver
from zinniaturn.fleet.pause_guard import PauseGuard
from zinniaturn.fleet.permit_exchange import PermitExchange
from zinniaturn.fleet.proof_exchange import ProofExchange
from zinniaturn.fleet.relays import PingRelays
from zinniaturn.fleet.state_exchange import NETWORK_DELAY_SECONDS, StateFetcher
from zinniaturn.fleet.table_sync import TableSync
from zinniaturn.fleet.vms import VmTable
from zinniaturn.http1.connections import Address, ConnectionPool
from zinniaturn.quarantine.table import QuarantineTable
from zinniaturn.reach.reach_table import ReachTable

_PUSH_FANOUT = 4
_PUSH_DELAY_SECONDS = 0.01
_JOIN_PINGS = 8
_ASKED_VMS = 6
# A state whose confirmation is newer by this much is pushed on.
_PUSHED_CONFIRMATION_SECONDS = 0.3
_STOPPING_PUSHES = 3
# Relative and absolute change of the load that is worth passing on.
_LOAD_CHANGE_SHARE = 0.25
_LOAD_CHANGE = 2
_MS_PER_SECOND = 1000


class PushTimer(Protocol):
    """A scheduled push."""

    def cancel(self) -> None:
        """Cancel the push."""


CallLater = Callable[[float, Callable[[], None]], PushTimer]


@dataclass(slots=True)
class GossipProtocol(asyncio.DatagramProtocol):
    """
    Exchanges datagrams with the other VMs.

    ``on_peer_error`` is called with the description of each invalid message
    and failed fetch, and ``on_notice`` with each admission that another VM has
    changed. ``is_outdated`` tells whether this VM may soon serve no tenants.
    ``call_later`` schedules pushes; `start` sets it to that of the event loop.
    """

    own: VmRecord
    fleet_state: FleetState
    vms: VmTable
    connections: ConnectionPool
    admissions: AdmissionTable
    reach: ReachTable
    stage: Callable[[], VmStage]
    load: Callable[[], int]
    on_peer_error: Callable[[str], None]
    on_notice: Callable[[Admission], None]
    random_source: random.Random = field(default_factory=random.Random)
    is_outdated: Callable[[], bool] = bool
    call_later: CallLater | None = None
    push_timer: PushTimer | None = None
    relays: PingRelays = field(default_factory=PingRelays)
    sender: GossipSender = field(init=False)
    news: NewsReceiver = field(init=False)
    detector: FailureDetector = field(init=False)
    proofs: ProofExchange = field(init=False)
    fetcher: StateFetcher = field(init=False)
    table_sync: TableSync = field(init=False)
    pause_guard: PauseGuard = field(init=False)
    permits: PermitExchange = field(init=False)
    quarantine: QuarantineTable = field(init=False)
    crash_news: CrashNews = field(init=False)

    def __post_init__(self) -> None:
        """Build the parts that share the tables."""
        self.sender = GossipSender(
            self.fleet_state, self.vms, self.admissions, self.reach
        )
        self.reach.ask_now = self.ask_others
        self.pause_guard = PauseGuard(self.vms.clock.monotonic())
        self.permits = PermitExchange(
            self.vms,
            self.admissions,
            self.sender,
            self.pause_guard,
            self.random_source,
        )
        self.quarantine = QuarantineTable(
            self.vms.clock,
            self.own.name,
            lambda: (peer.name for peer in self.vms.alive_vms()),
        )
        self.crash_news = CrashNews(
            self.quarantine, self.vms, self.random_source, self._schedule_push
        )
        self.sender.quarantine_row = self.crash_news.row
        self.detector = FailureDetector(self.vms, self.random_source)
        self.proofs = ProofExchange(
            self.fleet_state.proof, self.detector, self.sender
        )
        self.table_sync = TableSync(self.vms)
        self.news = NewsReceiver(
            self.vms,
            self.admissions,
            self.reach,
            self.sender,
            self.table_sync,
            self._schedule_push,
            self.on_notice,
        )
        self.fetcher = StateFetcher(
            self.own,
            self.fleet_state,
            self.vms,
            self.connections,
            self.random_source,
            self._schedule_push,
            self.news.apply_table,
            self.on_peer_error,
        )

    async def start(self) -> None:
        """Listen for datagrams; raises `OSError`."""
        loop = asyncio.get_running_loop()
        self.call_later = loop.call_later
        self.permits.call_later = loop.call_later
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=self.own.exchange,
        )
        self.sender.transport = transport

    def tick(self) -> None:
        """
        Send the pings of one interval and declare dead VMs.

        Call it each `PING_INTERVAL_SECONDS`.
        """
        now = self.vms.clock.monotonic()
        self.update_own_status()
        self.pause_guard.tick(now)
        self.permits.tick()
        rounds, dead = self.detector.tick(now)
        for name in dead:
            if self.vms.declare_dead(name):
                self.sender.pass_on(name)
                self._schedule_push()
        for ping_round in rounds:
            self.sender.send_round(ping_round)
        self.relays.discard_old(now)

    def ask_others(self) -> None:
        """Ping a few VMs, which tell in reply what this one asks about."""
        for peer in self.detector.sample_alive(_ASKED_VMS):
            self.sender.send(DatagramKind.PING, 0, peer.record.exchange, peer)

    def join(self) -> None:
        """Ping several listed VMs, to be known to the fleet soon."""
        silent = self.vms.silent_vms()
        count = min(_JOIN_PINGS, len(silent))
        for peer in self.random_source.sample(silent, count):
            self.sender.send(DatagramKind.PING, 0, peer.record.exchange, peer)

    def push(self) -> None:
        """Tell a few other VMs the state that this one holds, and its news."""
        self.push_timer = None
        for peer in self.detector.peers.sample_for_push(_PUSH_FANOUT):
            self.sender.send(DatagramKind.PUSH, 0, peer.record.exchange, peer)

    def update_own_status(self) -> None:
        """Pass on this VM's stage and load when they have changed."""
        own = self.vms.own_status
        stage = self.stage()
        load = self.load()
        change = abs(load - own.load)
        if change <= max(_LOAD_CHANGE, own.load * _LOAD_CHANGE_SHARE):
            load = own.load
        cut_off = len(self.reach.cut_off)
        is_outdated = self.is_outdated()
        if self.vms.set_own(stage, load, cut_off, is_outdated=is_outdated):
            self.sender.pass_on(own.name)
        if (own.cut_off, own.is_outdated) != (cut_off, is_outdated):
            self._schedule_push()

    async def announce_stopping(self) -> None:
        """Push several times, since datagrams can be lost."""
        self.update_own_status()
        for _ in range(_STOPPING_PUSHES):
            self.push()
            await asyncio.sleep(NETWORK_DELAY_SECONDS)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Process a datagram of another VM."""
        try:
            datagram = decode_datagram(data)
        except PeerMessageError as error:
            self.on_peer_error(f'{addr[0]}: {error.message}')
            return
        try:
            self._receive(datagram, addr)
        except Exception as error:
            # What one datagram says must not end the receiving of others.
            self.on_peer_error(f'{addr[0]}: unusable: {error!r}')

    def _receive(self, datagram: Datagram, addr: Address) -> None:
        """Process a datagram; raises `ValueError` for an unusable sender."""
        sender = datagram.sender_status
        self.news.learn_statuses((sender, *datagram.news_statuses()))
        # Tokens of an allowance are handed over before others ask for them.
        self.permits.allowances.tick(self.vms.clock.monotonic())
        peer = self.vms.note_heard(sender.name, sender.version)
        if peer is not None:
            peer.follows_eras = datagram.follows_eras
            peer.follows_evacuations = datagram.follows_evacuations
        if not self.pause_guard.is_after_pause(self.vms.clock.monotonic()):
            self.news.learn_notices(datagram)
            self.news.learn_reach(datagram)
            if datagram.quarantine is not None:
                self.crash_news.learn(datagram.quarantine)
            self._compare_state(datagram)
            self._compare_evacuations(datagram)
        self._compare_proof(datagram, peer)
        self._compare_tables(datagram, peer)
        self._respond(datagram, peer, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable VMs; their missing acknowledgements show it."""

    def close(self) -> None:
        """Stop listening."""
        if self.sender.transport is not None:
            self.sender.transport.close()
            self.sender.transport = None
        self.call_later = None
        if self.push_timer is not None:
            self.push_timer.cancel()
        self.fetcher.close()
        self.permits.close()

    def _respond(
        self, datagram: Datagram, peer: PeerVm | None, addr: Address
    ) -> None:
        """Do what the datagram asks for."""
        match datagram.kind:
            case DatagramKind.PING:
                self.sender.send(
                    DatagramKind.ACK, datagram.sequence, addr, peer
                )
            case DatagramKind.ACK:
                self._pass_on_acknowledgement(datagram.sequence)
            case DatagramKind.PING_REQUEST:
                self._ping_for_other(datagram, addr)
            case DatagramKind.PUSH:
                if peer is not None and peer.is_unaware:
                    self.sender.send(DatagramKind.PUSH, 0, addr, peer)
            case DatagramKind.PERMIT_REQUEST:
                self.permits.receive_request(datagram, peer, addr)
            case DatagramKind.PERMIT_GRANT:
                self.permits.receive_grant(datagram)

    def _ping_for_other(self, datagram: Datagram, requester: Address) -> None:
        target = self.vms.vms.get(datagram.target)
        if target is None:
            return
        sequence = self.relays.add(
            datagram.sequence, requester, self.vms.clock.monotonic()
        )
        self.sender.send(
            DatagramKind.PING, sequence, target.record.exchange, target
        )

    def _pass_on_acknowledgement(self, sequence: int) -> None:
        relay = self.relays.take(sequence)
        if relay is not None:
            self.sender.send(
                DatagramKind.ACK, relay.sequence, relay.requester, None
            )

    def _compare_state(self, datagram: Datagram) -> None:
        """Confirm the own state by the sender's, or fetch the newer state."""
        fleet_state = self.fleet_state
        claim = datagram.state
        age = claim.age_ms / _MS_PER_SECOND + NETWORK_DELAY_SECONDS
        requested_at = fleet_state.clock.monotonic() - age
        gained = requested_at - fleet_state.confirmed_at
        if gained <= 0:
            return
        if claim.digest == fleet_state.identity(datagram.follows_eras).digest:
            fleet_state.confirm(claim.revision, requested_at)
            if gained > _PUSHED_CONFIRMATION_SECONDS:
                self._schedule_push()
        elif claim.revision > fleet_state.revision:
            peer = self.vms.vms.get(datagram.sender.name)
            if peer is not None:
                self.fetcher.want_state(claim.revision, peer.record)

    def _compare_evacuations(self, datagram: Datagram) -> None:
        """Confirm the known evacuations by the sender's, or fetch newer."""
        row = datagram.state.evacuations
        if row is None:
            return
        held = self.fleet_state.evacuations
        claim = row.claim(held.clock.monotonic() - NETWORK_DELAY_SECONDS)
        gained = claim.confirmed_at - held.confirmed_at
        match held.assess(claim):
            case Verdict.CONFIRMED if gained > _PUSHED_CONFIRMATION_SECONDS:
                self._schedule_push()
            case Verdict.NEWER:
                peer = self.vms.vms.get(datagram.sender.name)
                if peer is not None:
                    self.fetcher.want_evacuations(row.revision, peer.record)

    def _compare_proof(self, datagram: Datagram, peer: PeerVm | None) -> None:
        """Learn how old the tables may be; a pause makes no difference."""
        pinged_at = None
        if datagram.kind is DatagramKind.ACK:
            pinged_at = self.detector.acknowledge(datagram.sequence)
        if self.proofs.receive(datagram, peer, pinged_at):
            self._schedule_push()

    def _compare_tables(self, datagram: Datagram, peer: PeerVm | None) -> None:
        """Fetch the sender's table if this VM's lacks VMs for long."""
        now = self.vms.clock.monotonic()
        is_different = self.table_sync.compare(datagram.state.vms_checksum, now)
        if peer is not None and is_different:
            if self.table_sync.should_fetch(peer.record, now):
                self.fetcher.want_vms(peer.record)

    def _schedule_push(self) -> None:
        """Push a moment later, together with what arrives until then."""
        if self.push_timer is None and self.call_later is not None:
            self.push_timer = self.call_later(_PUSH_DELAY_SECONDS, self.push)
