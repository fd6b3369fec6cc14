"""Records what VMs of the locality model probe, choose and return."""

import asyncio
import hashlib
import random
from itertools import combinations
from types import MappingProxyType

from zinniaturn.experiments.locality.model_server import ServerTraits
from zinniaturn.experiments.locality.play import Play
from zinniaturn.gateway.endpoints import LookupEndpoint
from zinniaturn.placing.address_selection import AddressSelector
from zinniaturn.placing.latency_estimates import ServiceTimeEstimates

SERVERS = MappingProxyType({'a': 8, 'b': 12, 'c': 8})
_INSIDE_SECONDS = 0.0002
_PROCESS_SECONDS = 0.0003
_STALL_SHARE = 0.1
_STALL_SECONDS = 0.08
_PING_SECONDS = 0.1
_TICKS_PER_PING = 0.2
_LOOK_UP_SECONDS = 0.05
# As in build 109eea4.
_FIRST_SMOOTHING = 0.5
_SMOOTHING = 0.08
_SHORTEST_EXPECTED_SECONDS = 0.001


class EarlierEstimates(ServiceTimeEstimates):
    """
    Estimates service times as build 109eea4 does.

    Later builds correct an estimate by what each request was placed by, in all
    deployments. So the recorded choices differ by that alone.
    """

    def update(
        self, route, objective_seconds, seconds, expected, placed_by=None
    ):
        current = self.service_seconds(route, objective_seconds)
        ratio = seconds / max(expected, _SHORTEST_EXPECTED_SECONDS)
        weight = _FIRST_SMOOTHING
        if self.is_settled(route):
            ratio = min(2.0, max(0.5, ratio))
            weight = _SMOOTHING
        self.estimates[route] = current + current * (ratio - 1) * weight
        self.samples[route] = self.samples.get(route, 0) + 1

    def note_barred(self, route, now):
        """Do nothing; that build places no request on trial."""


class RecordedPlay:
    """
    A play whose VMs ping each other, with the order of all their choices.

    ``way_ms`` is the one-way distance between data centres. ``watch_of``
    returns what learns from a VM's pings, ``None`` in builds without that.
    """

    def __init__(self, way_ms, load, watch_of, seed=1, **settings):
        self.way_seconds = way_ms / 1000
        self.watch_of = watch_of
        self.choices = []
        self.switches = []
        self.tasks = []
        # Pings and look-ups must not change the random numbers of the model.
        self.random_source = random.Random(seed)
        self.play = Play(
            SERVERS,
            load,
            seconds=6,
            seed=seed,
            settings=settings,
            traits={'c': ServerTraits(noise=4, noise_share=0.3)},
            prepare=self._prepare,
        )

    def run(self):
        self.play.run()
        return self

    def digest(self):
        """Return a digest of each VM's look-ups, and of its other choices."""
        # The order in which different VMs act at the same moment is chance.
        choices = sorted(self.choices, key=lambda one: (one[0] < 'p', one[1]))
        lines = '\n'.join(map(repr, choices))
        return hashlib.sha256(lines.encode()).hexdigest()[:16]

    def _prepare(self, play):
        network = play.model_vms[0].network
        network.round_trips = {
            frozenset(pair): 2 * self.way_seconds
            for pair in combinations(SERVERS, 2)
        }
        for vm in play.model_vms:
            scheduler = vm.runner.scheduler
            scheduler.service_times = EarlierEstimates()
            scheduler.costs.service_times = scheduler.service_times
            self._record(vm)
            self.tasks.append(asyncio.ensure_future(self._look_up(vm)))
            watch = self.watch_of(vm)
            if watch is not None:
                self.tasks.append(asyncio.ensure_future(self._ping(vm, watch)))

    def _record(self, vm):
        prober = vm.runner.scheduler.search.prober
        probe, send = prober.probe, vm.send
        name = vm.record.name

        async def recorded_probe(candidates, health_path):
            names = [candidate.name for candidate in candidates]
            self.choices.append(('probe', name, *names))
            return await probe(candidates, health_path)

        async def recorded_send(context, placement):
            self.choices.append(
                (
                    'send',
                    name,
                    placement.candidate.name,
                    context.attempt_count,
                )
            )
            return await send(context, placement)

        vm.runner.scheduler.search.prober = RecordingProber(
            recorded_probe, prober.release
        )
        vm.send = recorded_send

    async def _look_up(self, vm):
        endpoint = LookupEndpoint(
            vm.state, AddressSelector(random.Random(vm.record.name))
        )
        while True:
            await asyncio.sleep(_LOOK_UP_SECONDS)
            endpoint.update_selected()
            for data_center in SERVERS:
                if hasattr(endpoint, 'fronts_for'):
                    fronts = endpoint.fronts_for(data_center)
                else:
                    selector = endpoint.address_selector
                    fronts = selector.select(endpoint.selected)
                self.choices.append(('look-up', vm.record.name, *fronts))

    async def _ping(self, vm, watch):
        """Ping the other VMs in turn; some of them are stalled."""
        loop = asyncio.get_running_loop()
        others = [other for other in self.play.model_vms if other is not vm]
        is_on = None
        while True:
            await asyncio.sleep(_PING_SECONDS)
            other = self.random_source.choice(others).record.data_center
            is_inside = other == vm.record.data_center
            seconds = _INSIDE_SECONDS if is_inside else 2 * self.way_seconds
            seconds += self.random_source.expovariate(1 / _PROCESS_SECONDS)
            if self.random_source.random() < _STALL_SHARE:
                seconds += _STALL_SECONDS
            watch.note_round_trip(other, seconds)
            if self.random_source.random() < _TICKS_PER_PING:
                watch.tick(loop.time())
            if is_on != vm.state.locality.activation.is_on:
                is_on = vm.state.locality.activation.is_on
                switched_at = loop.time() - self.play.began_at
                self.switches.append((vm.record.name, switched_at, is_on))


class RecordingProber:
    """Stands for a VM's prober and records the probes."""

    def __init__(self, probe, release):
        self.probe = probe
        self.release = release
