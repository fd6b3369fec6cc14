"""Plays a fleet that learns of withdrawn keys, with faults, in virtual time."""

import random

from features.support.gateway import build_snapshot
from zinniaturn.experiments.gossip_model import GossipModel
from zinniaturn.fleet.datagrams import decode_datagram
from zinniaturn.fleet.domain import TablesDocument
from zinniaturn.fleet.exceptions import BadDocumentError
from zinniaturn.fleet.messages import build_state_message, encode_message
from zinniaturn.fleet.poll_schedule import PollSchedule
from zinniaturn.fleet.state_exchange import StateFetcher
from zinniaturn.fleet.store_poller import StorePoller
from zinniaturn.fleet.tables import FleetTables
from zinniaturn.http1.messages import Response
from zinniaturn.tenants import (
    KeyRuling,
    RevocationRule,
    Tenant,
    TenantTable,
)

BOUND_SECONDS = 5
KEYS = (b'a', b'b', b'c')
BROKEN = b'broken'
_FOLLOW_SECONDS = 2
_POLL_SECONDS = 0.05
_REQUEST_SECONDS = 0.02
_READ_SECONDS = 0.03
_LONGEST_DELAY_SECONDS = 9
_MS_PER_SECOND = 1000


def decode_keys(document):
    """Return tables whose tenant has the keys that a document lists."""
    if document.raw == BROKEN:
        raise BadDocumentError('broken')
    keys = [key for key in document.raw.split(b',') if key]
    tenants = TenantTable.build([(Tenant('gold'), keys)])
    return FleetTables(document.revision, tenants=tenants)


class _ModelFetcher:
    """Fetches states by the product's code, over the model's network."""

    def __init__(self, model, vm, fetcher):
        self.model = model
        self.vm = vm
        self.fetcher = fetcher

    def want_state(self, revision, holder):
        source = self.model.by_address[holder.exchange]
        self.model.fetch(self.vm, self.fetcher, source)

    def want_vms(self, holder):
        """Do nothing; all VMs are known from the start."""

    def close(self):
        """Do nothing; transfers end by themselves."""


class RevocationModel(GossipModel):
    """
    VMs that poll a store and tell each other how old their tables are.

    ``versions`` are the times at which documents were written, with their
    keys. ``late`` lists the requests that were sent although their key had been
    withdrawn for longer than the bound. With ``trusts_all`` each datagram
    counts as a proof, as if none could be late.
    """

    def __init__(self, size, seed, trusts_all=False):
        self.trusts_all = trusts_all
        self.versions = []
        self.cut_from_store = set()
        self.late_share = 0
        self.late = []
        self.rulings = dict.fromkeys(KeyRuling, 0)
        self.oldest_proof = 0
        self.pollers = {}
        super().__init__(size, seed)
        self.faults = random.Random(seed)
        self.rule = RevocationRule(
            fail_closed=True, bound_seconds=BOUND_SECONDS
        )
        self.write(KEYS)
        for vm in self.vms:
            self._poll(vm)
            self._request(vm)

    def write(self, keys):
        """Write a document with these keys, or a broken one without any."""
        raw = b','.join(keys) if keys else BROKEN
        self.versions.append((self.clock.now, raw))

    def pause(self, vm, seconds):
        vm.paused_until = max(vm.paused_until, self.clock.now + seconds)

    def transmit(self, vm, data, address):
        send = super().transmit
        if self.faults.random() < self.late_share:
            seconds = self.faults.uniform(0, _LONGEST_DELAY_SECONDS)
            self.schedule(seconds, lambda: send(vm, data, address))
        else:
            send(vm, data, address)

    def _build_vm(self, record):
        vm = super()._build_vm(record)
        gossip = vm.gossip
        gossip.fleet_state.decode = decode_keys
        fetcher = StateFetcher(
            record,
            gossip.fleet_state,
            gossip.vms,
            gossip.connections,
            random.Random(1),
            lambda: None,
            lambda statuses: None,
            lambda error: None,
        )
        gossip.fetcher = _ModelFetcher(self, vm, fetcher)
        schedule = PollSchedule.within_bound(random.Random(2), _FOLLOW_SECONDS)
        self.pollers[record.name] = StorePoller(
            None, gossip.fleet_state, gossip.vms, schedule
        )
        return vm

    def _deliver(self, vm, data, sender):
        super()._deliver(vm, data, sender)
        row = decode_datagram(data).proof
        if self.trusts_all and row and self.clock.now >= vm.paused_until:
            as_of = self.clock.now - (row.age_ms or 0) / _MS_PER_SECOND
            vm.gossip.fleet_state.proof.prove(row.revision, as_of)

    def _resume_after(self, vm, seconds, call):
        """Call a function once a VM runs at that time or later."""

        def run():
            if self.clock.now < vm.paused_until:
                self.schedule(vm.paused_until - self.clock.now, run)
            else:
                call()

        self.schedule(seconds, run)

    def fetch(self, vm, fetcher, holder):
        """Fetch a state; the way there and back may take long."""
        if not self.is_connected(vm, holder):
            return
        sent_at = self.clock.now
        state = vm.gossip.fleet_state
        held = state.fingerprint

        def answer():
            raw = encode_message(
                build_state_message(holder.gossip.fleet_state, held)
            )
            response = Response(200, b'', [], raw)
            self._resume_after(
                vm,
                self._way_seconds(),
                lambda: fetcher._install_state(response, sent_at),
            )

        self._resume_after(holder, self._way_seconds(), answer)

    def _way_seconds(self):
        is_late = self.faults.random() < self.late_share
        return self.faults.uniform(
            0, _LONGEST_DELAY_SECONDS if is_late else 0.01
        )

    def _poll(self, vm):
        poller = self.pollers[vm.name]
        is_reachable = vm.name not in self.cut_from_store
        if is_reachable and poller.is_due():
            requested_at = self.clock.now
            poller.read_at = requested_at
            self.schedule(
                self._way_seconds(),
                lambda: self._read(vm, poller, requested_at),
            )
        seconds = self.faults.uniform(0.5, 1.5) * _POLL_SECONDS
        self._resume_after(vm, seconds, lambda: self._poll(vm))

    def _read(self, vm, poller, requested_at):
        count = len(self.versions)
        document = TablesDocument(count, self.versions[-1][1])
        snapshot = build_snapshot(count, document=document)

        def install():
            poller.install(snapshot, requested_at)
            vm.gossip.push()

        self._resume_after(vm, _READ_SECONDS + self._way_seconds(), install)

    def _request(self, vm):
        state = vm.gossip.fleet_state
        if state.tables is not None:
            key = self.faults.choice(KEYS)
            age = state.proof.age_seconds
            self.oldest_proof = max(self.oldest_proof, age)
            ruling, _ = self.rule.decide(state.tables.tenants, key, age)
            self.rulings[ruling] += 1
            if ruling is KeyRuling.SERVE and self._is_late(key):
                self.late.append((self.clock.now, vm.name, key, age))
        seconds = self.faults.uniform(0.5, 1.5) * _REQUEST_SECONDS
        self._resume_after(vm, seconds, lambda: self._request(vm))

    def _is_late(self, key):
        """Return whether no document of the last seconds has had a key."""
        oldest = self.clock.now - BOUND_SECONDS
        former = [at for at, _ in self.versions if at <= oldest]
        first = max(0, len(former) - 1)
        return not any(
            key in raw.split(b',') for _, raw in self.versions[first:]
        )


def _change_something(model):
    """Let one fault begin or end, or write a document."""
    faults = model.faults
    vm = faults.choice(model.vms)
    match faults.randrange(7):
        case 0:
            model.pause(vm, faults.uniform(0.2, 12))
        case 1:
            model.cut_from_store.add(vm.name)
        case 2:
            model.cut_from_store.discard(vm.name)
        case 3:
            vm.side = faults.randrange(3)
        case 4:
            vm.side = 0
        case 5:
            model.late_share = faults.choice((0, 0.05, 0.5))
        case _:
            model.write(_random_keys(faults))


def _random_keys(faults):
    """Return some keys, or none for a document that can't be read."""
    if faults.random() < 0.2:
        return ()
    return faults.sample(KEYS, faults.randrange(1, len(KEYS) + 1))


def run_with_faults(model, seconds):
    """Let a fleet meet random faults and documents for some time."""
    model.run(2)
    end = model.clock.now + seconds
    while model.clock.now < end:
        _change_something(model)
        model.run(model.faults.uniform(0.1, 2))
