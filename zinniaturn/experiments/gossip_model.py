"""
Model of a fleet's gossip in virtual time.

The gossip of every VM is the product's own code; only the clock, the network
and the transfer of tables are played. Datagrams are delayed and some are lost;
VMs die, pause, restart and are cut off from others.
"""

__all__ = ('GossipModel', 'ModelVm')

import heapq
import itertools
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from zinniaturn.admission.table import AdmissionTable
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.domain import VmRecord, VmStage
from zinniaturn.fleet.failure_detection import PING_INTERVAL_SECONDS
from zinniaturn.fleet.fleet_state import FleetState
from zinniaturn.fleet.gossip import GossipProtocol
from zinniaturn.fleet.tables import FleetTables
from zinniaturn.fleet.vms import VmTable, list_statuses
from zinniaturn.http1.connections import Address, ConnectionPool
from zinniaturn.reach.reach_table import ReachTable

_DATA_CENTERS = 5
_NEAR_DELAY_SECONDS = 0.0002
_FAR_DELAY_SECONDS = 0.001
_TRANSFER_SECONDS = 0.004
_START_SECONDS = 0.4
_PORT = 7620
_FIRST_CLOCK = 1000.0
_HEADER_BYTES = 28
_LONGEST_DELAY_SECONDS = 1.0
_HOSTS_PER_NETWORK = 250


class _Timer:
    """A scheduled call, which may be cancelled."""

    def __init__(self) -> None:
        self.is_cancelled = False

    def cancel(self) -> None:
        """Cancel the call."""
        self.is_cancelled = True


@dataclass(slots=True)
class _Wire:
    """The transport of one VM's datagrams."""

    model: 'GossipModel'
    vm: 'ModelVm'

    def sendto(self, data: bytes, address: Address) -> None:
        """Send a datagram to the VM with this address."""
        self.model.transmit(self.vm, data, address)

    def close(self) -> None:
        """Do nothing; the model has no sockets."""


@dataclass(slots=True)
class _TableFetcher:
    """Copies the table of another VM after the time of a transfer."""

    model: 'GossipModel'
    vm: 'ModelVm'
    is_fetching: bool = False

    def want_vms(self, holder: VmRecord) -> None:
        """Start a transfer unless one is running."""
        source = self.model.by_address[holder.exchange]
        if self.is_fetching or not self.model.is_connected(self.vm, source):
            return
        self.is_fetching = True
        self.vm.transfers += 1
        self.model.schedule(_TRANSFER_SECONDS, lambda: self._finish(source))

    def want_state(self, revision: int, holder: VmRecord) -> None:
        """Do nothing; the model has no fleet state."""

    def want_evacuations(self, revision: int, holder: VmRecord) -> None:
        """Do nothing; no data centre of the model is evacuated."""

    def close(self) -> None:
        """Do nothing; transfers end by themselves."""

    def _finish(self, source: 'ModelVm') -> None:
        self.is_fetching = False
        if source.is_running and self.vm.is_running:
            self.vm.gossip.news.apply_table(list_statuses(source.gossip.vms))


@dataclass(slots=True)
class ModelVm:
    """
    One VM; ``paused_until`` is the time at which it runs again.

    ``starts`` counts its processes, and ``far_bytes_sent`` are those to other
    data centres.
    """

    record: VmRecord
    gossip: GossipProtocol
    is_running: bool = True
    paused_until: float = 0
    datagrams_sent: int = 0
    bytes_sent: int = 0
    far_bytes_sent: int = 0
    transfers: int = 0
    side: int = 0
    starts: int = 1

    @property
    def name(self) -> str:
        """Return the VM's name."""
        return self.record.name


class GossipModel:
    """
    A fleet whose VMs know each other from the start.

    ``loss`` is the share of datagrams that are lost, and ``delayed_share`` that
    of those that take up to a second. With ``spares_far`` the VMs send fewer of
    them to other data centres.
    """

    delayed_share: float = 0

    def __init__(
        self, size: int, seed: int, loss: float = 0, *, spares_far: bool = False
    ) -> None:
        self.random_source = random.Random(seed)
        self.clock = ManualClock(_FIRST_CLOCK)
        self.loss = loss
        self.spares_far = spares_far
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.counter = itertools.count()
        self.by_address: dict[Address, ModelVm] = {}
        self.stages: dict[str, VmStage] = {}
        self.vms = [self._build_vm(_record(number)) for number in range(size)]
        for vm in self.vms:
            self.by_address[vm.record.exchange] = vm
        for vm in self.vms:
            for other in self.vms:
                table = vm.gossip.vms
                table.apply(list_statuses(other.gossip.vms)[0])
                table.note_heard(
                    other.name, other.gossip.vms.own_status.version
                )
            self._start_ticking(vm)

    def _build_vm(self, record: VmRecord) -> ModelVm:
        self.stages[record.name] = VmStage.READY
        table = VmTable(record, self.clock)
        table.set_own(VmStage.READY, 0)
        gossip = GossipProtocol(
            record,
            FleetState(self.clock, lambda document: FleetTables()),
            table,
            ConnectionPool(),
            AdmissionTable(self.clock),
            ReachTable(self.clock, record.name, lambda: len(table.alive_vms())),
            lambda: self.stages[record.name],
            int,
            lambda error: None,
            lambda admission: None,
            random.Random(self.random_source.random()),
        )
        gossip.detector.peers.spares_far = lambda: self.spares_far
        vm = ModelVm(record, gossip)
        gossip.call_later = self.schedule
        gossip.permits.call_later = self.schedule
        gossip.sender.transport = _Wire(self, vm)  # type: ignore[assignment]
        gossip.fetcher = _TableFetcher(self, vm)  # type: ignore[assignment]
        return vm

    def schedule(self, seconds: float, call: Callable[[], None]) -> _Timer:
        """Call a function later in virtual time."""
        timer = _Timer()
        at = self.clock.monotonic() + seconds

        def run() -> None:
            if not timer.is_cancelled:
                call()

        heapq.heappush(self.events, (at, next(self.counter), run))
        return timer

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        end = self.clock.monotonic() + seconds
        while self.events and self.events[0][0] <= end:
            at, _, call = heapq.heappop(self.events)
            self.clock.now = max(self.clock.now, at)
            call()
        self.clock.now = end

    def kill(self, vms: Collection[ModelVm]) -> None:
        """Stop VMs without notice."""
        for vm in vms:
            vm.is_running = False

    def stop(self, vm: ModelVm) -> None:
        """Let a VM announce that it is stopping."""
        self.stages[vm.name] = VmStage.STOPPING
        vm.gossip.tick()
        vm.gossip.push()

    def restart(self, vm: ModelVm, version: int) -> None:
        """
        Start a VM's next process, which knows where the others are.

        ``version`` is the one that its clock makes it begin with.
        """
        replacement = self._build_vm(vm.record)
        vm.gossip = replacement.gossip
        vm.gossip.sender.transport = _Wire(self, vm)  # type: ignore[assignment]
        vm.gossip.fetcher = _TableFetcher(self, vm)  # type: ignore[assignment]
        status = vm.gossip.vms.own_status
        vm.gossip.vms.own_status = type(status)(
            status.name, version, status.stage
        )
        vm.gossip.vms.update_records(
            [other.record for other in self.vms if other is not vm]
        )
        self.stages[vm.name] = VmStage.STARTING
        vm.gossip.vms.set_own(VmStage.STARTING, 0)
        self.schedule(_START_SECONDS, lambda: self._become_ready(vm))
        vm.is_running = True
        vm.starts += 1
        vm.gossip.join()
        self._start_ticking(vm)

    def _become_ready(self, vm: ModelVm) -> None:
        if self.stages[vm.name] is VmStage.STARTING:
            self.stages[vm.name] = VmStage.READY

    def pause(self, vm: ModelVm, seconds: float) -> None:
        """Suspend a VM; datagrams wait for it meanwhile."""
        vm.paused_until = self.clock.monotonic() + seconds

    def is_connected(self, first: ModelVm, second: ModelVm) -> bool:
        """Return whether datagrams pass between two VMs."""
        return first.side == second.side

    def transmit(self, vm: ModelVm, data: bytes, address: Address) -> None:
        """Send a datagram; it may be lost."""
        vm.datagrams_sent += 1
        vm.bytes_sent += len(data) + _HEADER_BYTES
        target = self.by_address[address]
        is_near = vm.record.data_center == target.record.data_center
        if not is_near:
            vm.far_bytes_sent += len(data) + _HEADER_BYTES
        is_lost = self.random_source.random() < self.loss
        if is_lost or not self.is_connected(vm, target):
            return
        delay = _NEAR_DELAY_SECONDS if is_near else _FAR_DELAY_SECONDS
        delay *= self.random_source.uniform(0.8, 1.5)
        if (
            self.delayed_share
            and self.random_source.random() < self.delayed_share
        ):
            delay += self.random_source.uniform(0, _LONGEST_DELAY_SECONDS)
        sender = vm.record.exchange
        self.schedule(delay, lambda: self._deliver(target, data, sender))

    def names_of(self, vm: ModelVm) -> set[str]:
        """Return the other VMs that a VM takes for alive."""
        return {peer.name for peer in vm.gossip.vms.alive_vms()}

    def running(self) -> list[ModelVm]:
        """Return the VMs that run."""
        return [vm for vm in self.vms if vm.is_running]

    def _deliver(self, vm: ModelVm, data: bytes, sender: Address) -> None:
        now = self.clock.monotonic()
        if not vm.is_running:
            return
        if now < vm.paused_until:
            self.schedule(
                vm.paused_until - now,
                lambda: self._deliver(vm, data, sender),
            )
            return
        vm.gossip.datagram_received(data, sender)

    def _start_ticking(self, vm: ModelVm) -> None:
        gossip = vm.gossip

        def tick() -> None:
            if not vm.is_running or vm.gossip is not gossip:
                return
            pause = max(0, vm.paused_until - self.clock.monotonic())
            if not pause:
                gossip.tick()
            self.schedule(pause or PING_INTERVAL_SECONDS, tick)

        offset = self.random_source.uniform(0, PING_INTERVAL_SECONDS)
        self.schedule(offset, tick)


def _record(number: int) -> VmRecord:
    network, host = divmod(number, _HOSTS_PER_NETWORK)
    data_center = f'dc-{number % _DATA_CENTERS}'
    address = f'10.{network}.0.{host + 1}'
    return VmRecord(
        f'front-{data_center}-{number}',
        data_center,
        f'{address}:8641',
        (address, _PORT),
        100,
    )
