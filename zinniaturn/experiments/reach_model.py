"""
Model of VMs that lose their links to the backend servers, in virtual time.

What VMs observe and tell each other, the decisions, the probes and the choice
of the VM that takes a request are the product's own code, and so is the gossip.
Played are the network, the servers, and a request's way: rounds of three
probes, a send, and one hop to another VM.
"""

__all__ = ('Means', 'ModelTry', 'ReachModel')

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from zinniaturn.experiments.gossip_model import GossipModel, ModelVm
from zinniaturn.fleet.vms import cut_off_vms, serving_vms
from zinniaturn.placing.address_selection import vms_with_paths
from zinniaturn.reach.decision import AwaitEvidence, PassOn, RejectAtOnce
from zinniaturn.reach.path_probes import PathProbes
from zinniaturn.reach.reach_table import ReachTable
from zinniaturn.relay.selection import RelayVm, select_relays

POOL = 'pool'

_SERVERS = 6
_ROUND_SECONDS = 0.06
_ROUNDS = 3
_PROBES_A_ROUND = 3
_CONNECT_SECONDS = 0.3
_RESPONSE_SECONDS = 0.002
_WORK_SECONDS = 0.1
_DEADLINE_SECONDS = 1.0
_POLL_SECONDS = 0.01
_WATCH_SECONDS = 0.1
_HOP_SECONDS = 0.001
# How long callers keep the response of a look-up.
_KEEP_SECONDS = (2.0, 2.0, 6.0)


@dataclass(frozen=True, slots=True)
class Means:
    """Which means against a lost path the VMs of a model use."""

    passes_on: bool = True
    leaves_lookups: bool = True


@dataclass(slots=True)
class ModelTry:
    """A first try at a VM; ``hops`` counts the VMs it was passed to."""

    vm: str
    sent_at: float
    was_cut: bool
    ended_at: float = 0
    is_served: bool = False
    hops: int = 0


@dataclass(slots=True)
class _Caller:
    """A caller with the VMs of its last look-up."""

    vms: list[str] = field(default_factory=list)
    keep_until: float = 0


class ReachModel:
    """
    A fleet before one pool of six servers.

    ``cut`` names the VMs without links to the servers, ``are_servers_down``
    cuts all of them. ``tries`` holds all requests, and ``passed_on_at`` the
    times at which any was passed on.
    """

    def __init__(
        self, size: int, seed: int, loss: float = 0, means: Means | None = None
    ) -> None:
        self.fleet = GossipModel(size, seed, loss)
        self.means = means or Means()
        self.random_source = random.Random(f'reach {seed}')
        self.cut: set[str] = set()
        self.are_servers_down = False
        self.tries: list[ModelTry] = []
        self.passed_on_at: list[tuple[float, str]] = []
        self.by_name = {vm.name: vm for vm in self.fleet.vms}
        for vm in self.fleet.vms:
            self._start_watching(vm)

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self.fleet.clock.monotonic()

    def add_callers(self, count: int, requests_per_second: float) -> None:
        """Add callers that look VMs up and share a rate of requests."""
        rate = requests_per_second / count
        for _ in range(count):
            self._schedule_call(_Caller(), rate)

    def is_cut(self, vm: ModelVm) -> bool:
        """Return whether no server responds to a VM."""
        return self.are_servers_down or vm.name in self.cut

    def reach(self, vm: ModelVm) -> ReachTable:
        """Return what a VM knows of the paths."""
        table = vm.gossip.reach
        if not table.own.sizes:
            table.own.retain({POOL: _SERVERS})
        return table

    def _schedule_call(self, caller: _Caller, rate: float) -> None:
        def call() -> None:
            self._schedule_call(caller, rate)
            self._call(caller)

        self.fleet.schedule(self.random_source.expovariate(rate), call)

    def _call(self, caller: _Caller) -> None:
        if self.now >= caller.keep_until:
            self._look_up(caller)
        if not caller.vms:
            return
        vm = self.by_name[self.random_source.choice(caller.vms)]
        if not self._runs(vm):
            return
        one = ModelTry(vm.name, self.now, self.is_cut(vm))
        self.tries.append(one)
        self._serve(vm, one, is_relayed=False, on_refused=lambda: None)

    def _look_up(self, caller: _Caller) -> None:
        directory = self.random_source.choice(self.fleet.vms)
        if not self._runs(directory):
            return
        table = directory.gossip.vms
        serving = serving_vms(table, own_is_ready=True)
        cut_off = cut_off_vms(table) if self.means.leaves_lookups else set()
        named = vms_with_paths(serving, cut_off, 0)
        caller.vms = [record.name for record in named]
        caller.keep_until = self.now + self.random_source.choice(_KEEP_SECONDS)

    def _serve(
        self,
        vm: ModelVm,
        one: ModelTry,
        is_relayed: bool,
        on_refused: Callable[[], None],
    ) -> None:
        """Let a VM decide on a request, and probe if it serves it itself."""
        if not self._runs(vm) or self.now > one.sent_at + _DEADLINE_SECONDS:
            one.ended_at = self.now
            return
        decision = self.reach(vm).decide(POOL, is_relayed)
        match decision:
            case PassOn(vms) if self.means.passes_on:
                self._pass_on(vm, one, vms)
            case RejectAtOnce() | PassOn():
                one.ended_at = self.now
                on_refused()
            case AwaitEvidence():
                self.fleet.schedule(
                    _POLL_SECONDS,
                    lambda: self._serve(vm, one, is_relayed, on_refused),
                )
            case _:
                self._probe_round(vm, one, is_relayed, on_refused, _ROUNDS)

    def _probe_round(
        self,
        vm: ModelVm,
        one: ModelTry,
        is_relayed: bool,
        on_refused: Callable[[], None],
        rounds: int,
    ) -> None:
        for _ in range(_PROBES_A_ROUND):
            self._probe(vm)

        def look() -> None:
            if rounds > 1 and self.is_cut(vm):
                self._probe_round(vm, one, is_relayed, on_refused, rounds - 1)
            elif self.is_cut(vm):
                self._serve(vm, one, is_relayed, on_refused)
            else:
                self._finish(vm, one)

        wait = _ROUND_SECONDS if self.is_cut(vm) else _RESPONSE_SECONDS * 2
        self.fleet.schedule(wait, look)

    def _finish(self, vm: ModelVm, one: ModelTry) -> None:
        """Let a server work on a request, if the VM still runs at its end."""

        def respond() -> None:
            one.ended_at = self.now
            one.is_served = self._runs(vm) and not self.is_cut(vm)

        self.fleet.schedule(_WORK_SECONDS, respond)

    def _probe(self, vm: ModelVm) -> None:
        own = self.reach(vm).own
        server = f's-{self.random_source.randrange(_SERVERS)}'
        tried_at = own.note_tried(POOL, server)
        process = vm.starts

        def is_same() -> bool:
            return vm.starts == process and self._runs(vm)

        def respond() -> None:
            if is_same() and not self.is_cut(vm):
                own.note_connected(POOL)
                own.note_response(POOL)

        def give_up() -> None:
            if is_same() and own.of(POOL).responded_at < tried_at:
                own.note_unconnected(POOL, server, tried_at)

        if self.is_cut(vm):
            self.fleet.schedule(_CONNECT_SECONDS, give_up)
        else:
            self.fleet.schedule(_RESPONSE_SECONDS, respond)

    def _pass_on(
        self, vm: ModelVm, one: ModelTry, names: Collection[str]
    ) -> None:
        """Pass a request on to up to three VMs, one after the other."""
        peers = [vm.gossip.vms.vms[name] for name in names]
        relays = select_relays(
            [
                RelayVm(peer.name, peer.record.exchange)
                for peer in peers
                if peer.is_alive
            ],
            self.random_source,
        )
        self._try_relays(vm, one, [relay.name for relay in relays])

    def _try_relays(self, vm: ModelVm, one: ModelTry, names: list[str]) -> None:
        if not names:
            one.ended_at = self.now
            return
        target, rest = self.by_name[names[0]], names[1:]

        def refuse() -> None:
            self.reach(vm).witnesses.discard(POOL, target.name)
            self._try_relays(vm, one, rest)

        if not self._runs(target) or not self.fleet.is_connected(vm, target):
            self.fleet.schedule(_ROUND_SECONDS, refuse)
            return
        one.hops += 1
        self.passed_on_at.append((self.now, vm.name))
        self.fleet.schedule(
            _HOP_SECONDS,
            lambda: self._serve(
                target, one, is_relayed=True, on_refused=refuse
            ),
        )

    def _runs(self, vm: ModelVm) -> bool:
        return vm.is_running and vm.paused_until <= self.now

    def _start_watching(self, vm: ModelVm) -> None:
        probes = PathProbes(self.random_source)

        def watch() -> None:
            self.fleet.schedule(_WATCH_SECONDS, watch)
            if not self._runs(vm):
                return
            reach = self.reach(vm)
            reach.update()
            for _ in probes.due(reach, vm.gossip.vms.max_size()):
                self._probe(vm)

        self.fleet.schedule(
            self.random_source.uniform(0, _WATCH_SECONDS), watch
        )
