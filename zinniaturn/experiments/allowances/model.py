"""
Model of a tenant with an allowance and of the VMs that share it.

The gossip, the permits and the accounts are the product's own code. Played are
the network, the documents, and a request's way to a server: it obtains a permit
as the gateway does, and uses it at once or as late as it may.
"""

__all__ = ('BOUNDS', 'AllowanceModel')

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from zinniaturn.experiments.gossip_model import GossipModel, ModelVm
from zinniaturn.tenants import Tenant
from zinniaturn.tenants.accounts import (
    TenantAccount,
    TenantAccounts,
    note_refused,
    take_own_part,
)
from zinniaturn.tenants.allowance import AllowanceBounds

BOUNDS = AllowanceBounds(5.0, 0.1, 20)
_REPLY_SECONDS = 0.04
_CHECK_SECONDS = 0.004
_SEND_SECONDS = 0.001
# A permit that waits is used in the last part of its life.
_LATE_SHARE = 0.3
_LATE_PART = (0.9, 0.999)
_DOCUMENT_SECONDS = 1.0
_LONGEST_GAP_SECONDS = 0.1


@dataclass(slots=True)
class _Held:
    """What a VM's process holds of the allowance."""

    starts: int
    accounts: TenantAccounts
    tenant: Tenant
    version: int


@dataclass(slots=True)
class AllowanceModel:
    """
    A fleet and one tenant.

    ``arrivals`` are the times at which servers get its requests, and ``asked``
    those at which callers send them to VMs that run. ``documents`` are the
    times and tenants of all documents.
    """

    fleet: GossipModel
    random_source: random.Random
    tenant: Tenant
    demand_per_second: float = 0
    callers_vms: list[ModelVm] = field(default_factory=list)
    version: int = 1
    documents: list[tuple[float, Tenant]] = field(default_factory=list)
    held: dict[str, _Held] = field(default_factory=dict)
    arrivals: list[float] = field(default_factory=list)
    asked: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    own_parts: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Let all VMs know the first document."""
        self.callers_vms = list(self.fleet.vms)
        self.documents = [(-math.inf, self.tenant)]
        for vm in self.fleet.vms:
            self._start_process(vm)
        self._schedule_next()

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self.fleet.clock.monotonic()

    def publish(self, tenant: Tenant) -> None:
        """Let each VM learn a later document within a second."""
        self.tenant = tenant
        self.version += 1
        version = self.version
        self.documents.append((self.now, tenant))
        for vm in self.fleet.vms:
            self._tell(vm, tenant, version)

    def arrive(self, vm: ModelVm) -> None:
        """Let a caller send a request to a VM; it is lost if that is down."""
        if not self._can_run(vm):
            return
        self.asked.append(self.now)
        held = self._held(vm)
        account = held.accounts.use(held.tenant, BOUNDS, held.version)
        expiry = account.admission.permits.take(self.now)
        if expiry is None:
            account.admission.permits.waiting += 1
            self._request(vm, account, self.now + _REPLY_SECONDS)
        else:
            self._go_on(vm, account, expiry)

    def _tell(self, vm: ModelVm, tenant: Tenant, version: int) -> None:
        def learn() -> None:
            held = self._held(vm)
            if version > held.version:
                held.tenant = tenant
                held.version = version

        delay = self.random_source.uniform(0, _DOCUMENT_SECONDS)
        self.fleet.schedule(delay, learn)

    def _held(self, vm: ModelVm) -> _Held:
        """Return what the VM's present process holds."""
        if self.held[vm.name].starts != vm.starts:
            self._start_process(vm)
        return self.held[vm.name]

    def _start_process(self, vm: ModelVm) -> None:
        self.held[vm.name] = _Held(
            vm.starts,
            TenantAccounts(self.fleet.clock),
            self.tenant,
            self.version,
        )

    def _schedule_next(self) -> None:
        rate = self.demand_per_second
        seconds = _LONGEST_GAP_SECONDS
        if rate:
            seconds = min(seconds, self.random_source.expovariate(rate))
        is_request = seconds < _LONGEST_GAP_SECONDS

        def call() -> None:
            if is_request and self.demand_per_second:
                self.arrive(self.random_source.choice(self.callers_vms))
            self._schedule_next()

        self.fleet.schedule(seconds, call)

    def _request(
        self, vm: ModelVm, account: TenantAccount, until: float
    ) -> None:
        """Request a permit, and look for it until the time is over."""
        if not self._can_run(vm):
            self._when_running(vm, lambda: self._request(vm, account, until))
            return
        book = account.admission.permits
        is_asked = vm.gossip.permits.request(account.admission)
        expiry = book.take(self.now)
        if expiry is None and is_asked and self.now < until:
            self.fleet.schedule(
                _CHECK_SECONDS, lambda: self._request(vm, account, until)
            )
            return
        book.waiting -= 1
        if expiry is None:
            expiry = self._own_permit(vm, account)
        if expiry is None:
            self.refused.append(self.now)
        else:
            self._go_on(vm, account, expiry)

    def _go_on(
        self, vm: ModelVm, account: TenantAccount, expiry: float
    ) -> None:
        """Request permits ahead, and use one."""
        if account.admission.permits.needs_more(self.now):
            vm.gossip.permits.request(account.admission)
        self._use(vm, expiry)

    def _own_permit(self, vm: ModelVm, account: TenantAccount) -> float | None:
        if not vm.gossip.permits.has_no_owner(account.admission):
            note_refused(account, self.now)
            return None
        expiry = take_own_part(account, self.now)
        if expiry is not None:
            self.own_parts.append(self.now)
        return expiry

    def _use(self, vm: ModelVm, expiry: float) -> None:
        """Send with a permit, at once or shortly before it expires."""
        wait: float = 0
        if self.random_source.random() < _LATE_SHARE:
            part = self.random_source.uniform(*_LATE_PART)
            wait = part * (expiry - self.now)
        starts = vm.starts

        def send() -> None:
            if not vm.is_running or vm.starts != starts:
                return
            if not self._can_run(vm):
                self._when_running(vm, send)
            elif self.now < expiry:
                self.arrivals.append(self.now + _SEND_SECONDS)

        self.fleet.schedule(wait, send)

    def _when_running(self, vm: ModelVm, call: Callable[[], None]) -> None:
        """Go on after a pause; what a VM that was killed has begun is lost."""
        seconds = vm.paused_until - self.now
        if vm.is_running and seconds > 0:
            self.fleet.schedule(seconds, call)

    def _can_run(self, vm: ModelVm) -> bool:
        return vm.is_running and vm.paused_until <= self.now
