"""
The allowances that belong to this VM: grants, and hand-overs to other VMs.

Work: when VMs come or go, one step for each allowance that belongs to this VM,
and a datagram for each one that has got another owner.
"""

__all__ = ('AllowanceOwner',)

from collections.abc import Callable
from dataclasses import dataclass, field

from zinniaturn.admission.allowance_grantor import (
    AllowanceGrantor,
    AllowanceRequest,
)
from zinniaturn.admission.grantor import Grant
from zinniaturn.fleet.alive_vms import PeerVm
from zinniaturn.fleet.datagrams import PermitRequestRow
from zinniaturn.fleet.domain import VmStage
from zinniaturn.fleet.owner_history import OwnerHistory
from zinniaturn.fleet.pause_guard import PauseGuard
from zinniaturn.fleet.server_owners import alive_share, owner_of
from zinniaturn.fleet.vms import VmTable

# Permits for what has no owner are refused with a wait of 0.1 s.
_SHORTEST_WAIT_SECONDS = 0.11
_MS_PER_SECOND = 1000

SendRow = Callable[[PeerVm, PermitRequestRow], None]


@dataclass(slots=True)
class AllowanceOwner:
    """
    Grants permits of the allowances that belong to this VM.

    ``send`` hands a bucket over to its next owner. ``known`` identifies the
    VMs and pauses that were known at the last tick.
    """

    vms: VmTable
    pause_guard: PauseGuard
    send: SendRow
    grantor: AllowanceGrantor = field(default_factory=AllowanceGrantor)
    history: OwnerHistory = field(init=False)
    known: tuple[int, float, VmStage | None] = (-1, 0, None)

    def __post_init__(self) -> None:
        """Begin as a VM that has just come."""
        self.history = OwnerHistory(self.vms.own.name)

    def tick(self, now: float) -> None:
        """Follow the VMs; call it ten times a second."""
        resumed_at = self.pause_guard.resumed_at
        stage = self.vms.own_status.stage
        known = self.vms.change_count, resumed_at, stage
        if known == self.known:
            return
        if resumed_at != self.known[1] and self.known[2] is not None:
            # Others may have granted in the meantime.
            self.grantor.buckets.clear()
            self.history.forget(now)
        self.known = known
        self._follow_vms(now)

    def grant(self, request: AllowanceRequest, now: float) -> Grant:
        """Return the permits granted for a request."""
        self.tick(now)
        count, wait = self.grantor.grant(
            request,
            alive_share(self.vms),
            now,
            self._granted_until(request, now),
        )
        return Grant(count, max(wait, _SHORTEST_WAIT_SECONDS))

    def take_over(
        self, request: AllowanceRequest, tokens: float, now: float
    ) -> None:
        """Add the tokens that the owner before has handed over."""
        self.tick(now)
        self.grantor.take_over(
            request,
            tokens,
            alive_share(self.vms),
            now,
            self._granted_until(request, now),
        )

    def _granted_until(self, request: AllowanceRequest, now: float) -> float:
        if request.name in self.grantor.buckets:
            return 0
        if self.vms.max_size() == 1:
            # None but the process before has granted anything.
            return self.pause_guard.resumed_at_latest(now)
        return self.history.granted_until(request.name)

    def _follow_vms(self, now: float) -> None:
        vms = self.vms
        ready = {
            peer.name for peer in vms.alive_vms() if peer.stage is VmStage.READY
        }
        if vms.own_status.stage is VmStage.READY:
            ready.add(vms.own.name)
        dead = {
            name
            for name in self.history.ready - ready
            if name in vms.vms and vms.vms[name].stage is VmStage.DEAD
        }
        self.history.update(ready, dead, now)
        self.grantor.set_share(alive_share(vms), now)
        for name in list(self.grantor.buckets):
            owner = owner_of(vms, name)
            if owner != vms.own.name:
                self._hand_over(name, owner, now)

    def _hand_over(self, name: str, owner: str | None, now: float) -> None:
        handed = self.grantor.hand_over(name, now)
        peer = None if owner is None else self.vms.vms.get(owner)
        if handed is None or peer is None:
            return
        told, tokens = handed
        self.send(
            peer,
            PermitRequestRow(
                told.name,
                told.version,
                0,
                told.per_second,
                round((now - told.said_at) * _MS_PER_SECOND),
                told.depth,
                handed=tokens,
            ),
        )
