"""
Requests for permits to the VMs that servers with a limit belong to.

A VM asks for a permit when it considers a server with a limit for a request.
Where no reply comes it repeats its request twice with the same sequence number.
A VM sends at most about 40 requests a second, whatever the number of servers.
"""

__all__ = ('PermitExchange',)

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from zinniaturn.admission.admission import Admission
from zinniaturn.admission.allowance_grantor import AllowanceRequest
from zinniaturn.admission.grantor import Grant, PermitGrantor, PermitRequest
from zinniaturn.admission.table import AdmissionTable
from zinniaturn.fleet.alive_vms import PeerVm
from zinniaturn.fleet.allowance_owner import AllowanceOwner
from zinniaturn.fleet.cold_terms import with_cold_terms
from zinniaturn.fleet.datagrams import (
    Datagram,
    DatagramExtras,
    DatagramKind,
    PermitGrantRow,
    PermitRequestRow,
)
from zinniaturn.fleet.gossip_sender import GossipSender
from zinniaturn.fleet.pause_guard import PauseGuard
from zinniaturn.fleet.server_owners import grantable_share, owner_of
from zinniaturn.fleet.vms import VmTable
from zinniaturn.http1.connections import Address
from zinniaturn.placing.token_bucket import TokenBucket

_REPEAT_SECONDS = 0.03
_MOST_SENDS = 3
_REQUESTS_PER_SECOND = 40.0
_REQUEST_BURST = 20.0
_FAILED_WAIT_SECONDS = 0.1
_OWNERLESS_SECONDS = 0.5
_OVER_BUDGET_SECONDS = 0.05
_SHORTEST_WAIT_SECONDS = 0.05
_LONGEST_WAIT_SECONDS = 1.0
# After a pause an owner grants nothing until others could tell it of changes.
_CATCH_UP_SECONDS = 0.5
_SEQUENCE_BITS = 31
_MS_PER_SECOND = 1000


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""


CallLater = Callable[[float, Callable[[], None]], Timer]


@dataclass(slots=True)
class _PendingRequest:
    """A request without a reply so far; ``started_at`` is the first send's."""

    sequence: int
    admission: Admission
    count: int
    started_at: float
    sends: int = 0


@dataclass(slots=True)
class PermitExchange:
    """
    Requests permits for this VM, and grants those of the servers it owns.

    ``pending`` are the requests without a reply, and ``blocked_until`` the
    times before which no further permit is requested, both by server.
    ``waiters`` are futures that are resolved at the next reply, and
    ``ownerless_until`` tells how long those count as without an owner from whom
    no permit could be had. ``allowances`` are those of tenants that belong to
    this VM.
    """

    vms: VmTable
    admissions: AdmissionTable
    sender: GossipSender
    pause_guard: PauseGuard
    random_source: random.Random
    call_later: CallLater | None = None
    grantor: PermitGrantor = field(default_factory=PermitGrantor)
    pending: dict[str, _PendingRequest] = field(default_factory=dict)
    blocked_until: dict[str, float] = field(default_factory=dict)
    waiters: list['asyncio.Future[None]'] = field(default_factory=list)
    ownerless_until: dict[str, float] = field(default_factory=dict)
    allowances: AllowanceOwner = field(init=False)
    budget: TokenBucket = field(init=False)
    requested: int = 0
    granted: int = 0
    refused: int = 0

    def __post_init__(self) -> None:
        """Start the budget of requests."""
        self.allowances = AllowanceOwner(
            self.vms, self.pause_guard, self._send_row
        )
        now = self.vms.clock.monotonic()
        self.budget = TokenBucket(_REQUESTS_PER_SECOND, _REQUEST_BURST, now)

    def tick(self) -> None:
        """Drop what has expired; call it ten times a second."""
        now = self.vms.clock.monotonic()
        self.allowances.tick(now)
        self.blocked_until = _unexpired(self.blocked_until, now)
        self.ownerless_until = _unexpired(self.ownerless_until, now)
        for pending in list(self.pending.values()):
            if now - pending.started_at > _MOST_SENDS * _REPEAT_SECONDS * 2:
                self._finish(pending, Grant(0, _FAILED_WAIT_SECONDS))

    def request(self, admission: Admission) -> bool:
        """
        Request permits for a server that is short of them.

        Returns whether a reply is to be expected.
        """
        if not admission.is_limited:
            return False
        server = admission.notice.server
        now = self.vms.clock.monotonic()
        count = admission.permits.shortage(now)
        if server in self.pending:
            return True
        if not count or self.blocked_until.get(server, now) > now:
            return False
        if not self.budget.take(1, now):
            self.ownerless_until[server] = now + _OVER_BUDGET_SECONDS
            return False
        self.requested += 1
        pending = _PendingRequest(
            self.random_source.getrandbits(_SEQUENCE_BITS),
            admission,
            count,
            now,
        )
        self.pending[server] = pending
        self._send(pending)
        return server in self.pending

    def has_no_owner(self, admission: Admission) -> bool:
        """Return whether lately no owner could be asked for permits."""
        now = self.vms.clock.monotonic()
        return self.ownerless_until.get(admission.notice.server, now) > now

    def is_pending(self, admission: Admission) -> bool:
        """Return whether a request for a server has no reply so far."""
        return admission.notice.server in self.pending

    async def wait_for_reply(self, seconds: float) -> None:
        """Wait until any request is replied to, or until the time is over."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        await asyncio.wait((waiter,), timeout=seconds)

    def receive_request(
        self, datagram: Datagram, peer: PeerVm | None, address: Address
    ) -> None:
        """Reply to another VM's request."""
        row = datagram.permit_request
        if row is None:
            return
        now = self.vms.clock.monotonic()
        request = PermitRequest(
            datagram.sender.name,
            datagram.sequence,
            row.server,
            row.started_ms,
            row.count,
            row.limit,
            now - row.age_ms / _MS_PER_SECOND,
            row.depth,
        )
        if row.handed:
            if self._may_grant(request, now):
                told = _allowance_request(request)
                self.allowances.take_over(told, row.handed, now)
            return
        hand_over_seconds = row.hand_over_ms / _MS_PER_SECOND
        grant = self._grant(request, now, hand_over_seconds)
        wait_ms = round(grant.wait_seconds * _MS_PER_SECOND)
        self.sender.send(
            DatagramKind.PERMIT_GRANT,
            datagram.sequence,
            address,
            peer,
            DatagramExtras(
                permit_grant=PermitGrantRow(
                    row.server, row.started_ms, grant.count, wait_ms
                )
            ),
        )

    def receive_grant(self, datagram: Datagram) -> None:
        """Take the reply to an own request."""
        row = datagram.permit_grant
        pending = None if row is None else self.pending.get(row.server)
        if pending is None or pending.sequence != datagram.sequence:
            return
        assert row is not None
        grant = Grant(row.count, row.wait_ms / _MS_PER_SECOND)
        self._finish(pending, grant)

    def close(self) -> None:
        """Forget the requests without a reply."""
        self.call_later = None
        self.pending.clear()

    def _send(self, pending: _PendingRequest) -> None:
        """Send a request, or again; give it up after a few times."""
        notice = pending.admission.notice
        if self.pending.get(notice.server) is not pending:
            return
        owner = owner_of(self.vms, notice.server)
        if pending.sends >= _MOST_SENDS or owner is None:
            self._finish(pending, Grant(0, _FAILED_WAIT_SECONDS))
            return
        pending.sends += 1
        if owner == self.vms.own.name:
            now = self.vms.clock.monotonic()
            self._finish(
                pending,
                self._grant(
                    self._own_request(pending),
                    now,
                    pending.admission.hand_over_seconds(),
                ),
            )
            return
        self._send_to(self.vms.vms[owner], pending)
        if self.call_later is not None:
            self.call_later(_REPEAT_SECONDS, lambda: self._send(pending))

    def _own_request(self, pending: _PendingRequest) -> PermitRequest:
        notice = pending.admission.notice
        return PermitRequest(
            self.vms.own.name,
            pending.sequence,
            notice.server,
            notice.started_ms,
            pending.count,
            pending.admission.limit() or 0,
            notice.said_at,
            notice.depth,
        )

    def _send_to(self, owner: PeerVm, pending: _PendingRequest) -> None:
        admission = pending.admission
        notice = admission.notice
        limit = admission.limit() or 0
        # The warm-up's limit is known by now, however old the notice is.
        age: float = 0
        if limit == notice.limit:
            age = self.vms.clock.monotonic() - notice.said_at
        row = PermitRequestRow(
            notice.server,
            notice.started_ms,
            pending.count,
            limit,
            round(age * _MS_PER_SECOND),
            notice.depth,
            round(admission.hand_over_seconds() * _MS_PER_SECOND),
        )
        self._send_row(owner, row, pending.sequence)

    def _send_row(
        self, owner: PeerVm, row: PermitRequestRow, sequence: int = 0
    ) -> None:
        self.sender.send(
            DatagramKind.PERMIT_REQUEST,
            sequence,
            owner.record.exchange,
            owner,
            DatagramExtras(permit_request=row),
        )

    def _grant(
        self, request: PermitRequest, now: float, hand_over_seconds: float
    ) -> Grant:
        """
        Grant permits if this VM takes itself for the server's owner.

        ``hand_over_seconds`` is the time for which the requesting VM takes the
        server's warm-up to limit it.
        """
        if not self._may_grant(request, now):
            return Grant(0, _FAILED_WAIT_SECONDS)
        if request.depth:
            return self.allowances.grant(_allowance_request(request), now)
        own = self.admissions.admissions.get(request.server)
        if own is not None and own.note_hand_over(hand_over_seconds):
            self.sender.pass_on_notice(request.server)
        request = with_cold_terms(request, own, hand_over_seconds)
        return self.grantor.grant(request, grantable_share(self.vms), now)

    def _may_grant(self, request: PermitRequest, now: float) -> bool:
        is_owner = owner_of(self.vms, request.server) == self.vms.own.name
        is_unsure = self.pause_guard.is_after_pause(now, _CATCH_UP_SECONDS)
        return is_owner and not is_unsure

    def _finish(self, pending: _PendingRequest, grant: Grant) -> None:
        """Apply the reply to a request."""
        server = pending.admission.notice.server
        self.pending.pop(server, None)
        if grant.count:
            self.granted += grant.count
            pending.admission.add_permits(grant.count, pending.started_at)
        else:
            self.refused += 1
            if grant.wait_seconds == _FAILED_WAIT_SECONDS:
                now = self.vms.clock.monotonic()
                self.ownerless_until[server] = now + _OWNERLESS_SECONDS
            wait = max(_SHORTEST_WAIT_SECONDS, grant.wait_seconds)
            wait = min(_LONGEST_WAIT_SECONDS, wait)
            wait *= self.random_source.uniform(1, 1.5)
            self.blocked_until[server] = self.vms.clock.monotonic() + wait
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters = []


def _allowance_request(request: PermitRequest) -> AllowanceRequest:
    """Return a request with a depth as one for an allowance."""
    return AllowanceRequest(
        request.vm,
        request.sequence,
        request.server,
        request.started_ms,
        request.count,
        request.limit,
        request.depth,
        request.said_at,
    )


def _unexpired(times: dict[str, float], now: float) -> dict[str, float]:
    """Return the times that are not over."""
    return {server: until for server, until in times.items() if until > now}
