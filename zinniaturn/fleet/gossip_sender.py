"""Sends datagrams to other VMs, each with the latest news."""

__all__ = ('GossipSender',)

import asyncio
from dataclasses import dataclass, field, replace

from zinniaturn.fleet.alive_vms import PeerVm
from zinniaturn.fleet.datagrams import (
    DatagramKind,
    StateClaim,
    encode_datagram,
)
from zinniaturn.fleet.failure_detection import PingRound
from zinniaturn.fleet.fleet_state import FleetState
from zinniaturn.fleet.status_queue import StatusQueue
from zinniaturn.fleet.vms import VmTable
from zinniaturn.http1.connections import Address

_MOST_NEWS = 40


@dataclass(slots=True)
class GossipSender:
    """
    Sends datagrams while it has a ``transport``.

    ``queue`` holds the VMs whose statuses are passed on.
    """

    fleet_state: FleetState
    vms: VmTable
    transport: asyncio.DatagramTransport | None = None
    queue: StatusQueue = field(default_factory=StatusQueue)

    def pass_on(self, name: str) -> None:
        """Add a VM's status to the news of the next datagrams."""
        self.queue.add(name, self.vms.max_size())

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
                target.record.name,
            )

    def send(
        self,
        kind: DatagramKind,
        sequence: int,
        address: Address,
        receiver: PeerVm | None,
        target: str = '',
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
                kind, sequence, sender, self._claim(), news, target
            ),
            address,
        )

    def _claim(self) -> StateClaim:
        return StateClaim(
            self.fleet_state.revision,
            self.fleet_state.digest,
            max(0, self.fleet_state.age_ms) + 1,
            self.vms.checksum(),
        )
