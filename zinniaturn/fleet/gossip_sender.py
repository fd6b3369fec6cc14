"""Sends datagrams to other VMs, each with the latest news."""

__all__ = ('GossipSender',)

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from zinniaturn.admission.table import AdmissionTable
from zinniaturn.fleet.alive_vms import PeerVm
from zinniaturn.fleet.datagrams import (
    DatagramExtras,
    DatagramKind,
    NoticeRow,
    ProofRow,
    QuarantineRow,
    ReachRow,
    ResponseRow,
    StateClaim,
    encode_datagram,
)
from zinniaturn.fleet.domain import VmStage
from zinniaturn.fleet.evacuation_messages import evacuations_row
from zinniaturn.fleet.failure_detection import PingRound
from zinniaturn.fleet.figures import LONGEST_MS
from zinniaturn.fleet.fleet_state import FleetState
from zinniaturn.fleet.status_queue import StatusQueue
from zinniaturn.fleet.vms import VmTable
from zinniaturn.http1.connections import Address
from zinniaturn.reach.reach_table import ReachTable

_MOST_NEWS = 40
_MOST_NOTICES = 5
_MOST_NOTICES_TO_STARTING_VM = 30
_MS_PER_SECOND = 1000


_NO_EXTRAS = DatagramExtras()

QuarantineRowFor = Callable[[PeerVm | None], QuarantineRow | None]


def _no_row(receiver: PeerVm | None) -> None:
    """Do nothing; the gossip sets what tells of crashes."""


@dataclass(slots=True)
class GossipSender:
    """
    Sends datagrams while it has a ``transport``.

    ``queue`` holds the VMs whose statuses are passed on, and ``notice_queue``
    the servers whose notices are. ``quarantine_row`` returns what to tell a VM
    of crashes.
    """

    fleet_state: FleetState
    vms: VmTable
    admissions: AdmissionTable
    reach: ReachTable
    transport: asyncio.DatagramTransport | None = None
    quarantine_row: QuarantineRowFor = _no_row
    queue: StatusQueue[str] = field(default_factory=StatusQueue)
    notice_queue: StatusQueue[str] = field(default_factory=StatusQueue)

    def pass_on(self, name: str) -> None:
        """Add a VM's status to the news of the next datagrams."""
        self.queue.add(name, self.vms.max_size())

    def pass_on_notice(self, server: str) -> None:
        """Add what a server has said to the next datagrams."""
        self.notice_queue.add(server, self.vms.max_size())

    def send_round(self, ping_round: PingRound) -> None:
        """Send a ping, and requests to others to send it too."""
        target = ping_round.target
        sequence = ping_round.sequence
        self.send(DatagramKind.PING, sequence, target.record.exchange, target)
        for helper in ping_round.helpers:
            self.send(
                DatagramKind.PING_REQUEST,
                sequence,
                helper.record.exchange,
                helper,
                DatagramExtras(target.record.name),
            )

    def send(
        self,
        kind: DatagramKind,
        sequence: int,
        address: Address,
        receiver: PeerVm | None,
        extras: DatagramExtras = _NO_EXTRAS,
    ) -> None:
        """
        Send a datagram with the latest news.

        A receiver that has not been heard yet may not know this VM.
        """
        if self.transport is None:
            return
        sender = self.vms.own_status
        is_unheard = receiver is None or receiver.heard_at == float('-inf')
        if is_unheard:
            sender = replace(sender, record=self.vms.own)
        news = [
            status
            for name in self.queue.take(_MOST_NEWS)
            if (status := self.vms.status_of(name)) is not None
        ]
        if receiver is not None and receiver.is_unaware:
            news.append(receiver.status())
        self.transport.sendto(
            encode_datagram(
                kind,
                sequence,
                sender,
                self._claim(receiver),
                news,
                replace(
                    extras,
                    notices=self._notice_rows(receiver),
                    reach=self._reach_row(receiver),
                    quarantine=self.quarantine_row(receiver),
                    proof=self._proof_row(),
                ),
            ),
            address,
        )

    def _notice_rows(self, receiver: PeerVm | None) -> list[NoticeRow]:
        """
        Return the notices for a datagram.

        A VM that is starting has missed the earlier ones, so it is sent some of
        all that are in force; it hears several VMs at its start.
        """
        servers = self.notice_queue.take(_MOST_NOTICES)
        if receiver is not None and receiver.stage is VmStage.STARTING:
            servers = list(self.admissions.active)
            servers = servers[-_MOST_NOTICES_TO_STARTING_VM:]
        now = self.vms.clock.monotonic()
        return [
            self._notice_row(server, now)
            for server in servers
            if self.admissions.has_notice(server)
        ]

    def _notice_row(self, server: str, now: float) -> NoticeRow:
        admission = self.admissions.admissions[server]
        notice = admission.notice
        age_ms = LONGEST_MS
        if notice.is_heard:
            age_ms = round(max(0, now - notice.said_at) * _MS_PER_SECOND)
        return NoticeRow(
            server,
            notice.started_ms,
            notice.limit,
            notice.is_leaving,
            age_ms,
            round(admission.hand_over_seconds() * _MS_PER_SECOND),
        )

    def _reach_row(self, receiver: PeerVm | None) -> ReachRow:
        now = self.vms.clock.monotonic()
        name = '' if receiver is None else receiver.name
        return ReachRow(
            self.reach.questions_to_send(),
            tuple(
                ResponseRow(
                    response.pool,
                    response.vm,
                    max(
                        0, round((now - response.responded_at) * _MS_PER_SECOND)
                    ),
                )
                for response in self.reach.responses_to_send(name)
            ),
        )

    def _proof_row(self) -> ProofRow | None:
        """Return how old the tables may be, where tenants are configured."""
        tables = self.fleet_state.tables
        if tables is None or tables.tenants is None:
            return None
        proof = self.fleet_state.proof
        return ProofRow(proof.revision, proof.age_ms)

    def _claim(self, receiver: PeerVm | None) -> StateClaim:
        follows_eras = receiver is not None and receiver.follows_eras
        identity = self.fleet_state.identity(follows_eras)
        return StateClaim(
            identity.revision,
            identity.digest,
            max(0, self.fleet_state.age_ms) + 1,
            self.vms.checksum(),
            evacuations_row(self.fleet_state.evacuations),
        )
