"""Model of a store with evacuations, and of VMs of two builds."""

import itertools
import random
from dataclasses import dataclass, replace

from features.support.evacuations import CLOCK_START, build_follower
from features.support.gateway import build_snapshot
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.evacuation_messages import (
    EvacuationsRow,
    evacuations_row,
)
from zinniaturn.fleet.evacuations import (
    EvacuationsClaim,
    EvacuationsNews,
    Verdict,
)
from zinniaturn.fleet.messages import (
    StateMessage,
    build_state_message,
    decode_state,
    encode_message,
    snapshot_from_message,
)
from zinniaturn.fleet.revisions import join_revision

_NAMES = ('dc-a', 'dc-b')
_STEP_SECONDS = 0.5
_MS_PER_SECOND = 1000
_EVENTS_KEPT = 5


@dataclass(frozen=True)
class ModelClaim:
    """A datagram's claims, and the state that a fetch would return."""

    sent_at: float
    digest: int
    revision: int
    confirmed_at: float
    row: EvacuationsRow | None
    state: StateMessage


class EvacuationModel:
    """
    A store, VMs and the messages in transit between them.

    ``held`` records since when the store has held which names. The invariant:
    a VM that knows its evacuations as of a time holds all names that the store
    had then, and no name that the store has not had since. A name that the
    store has lost as it went back may stay for 30 s, and is exempt for as long.
    """

    def __init__(self, following, others, fault=''):
        self.clock = ManualClock(CLOCK_START)
        self.fault = fault
        self.era = 1
        self.number = 1
        self.names = frozenset()
        self.held = [(self.clock.now, self.names)]
        self.lost = {}
        self.copies = [(1, self.names)]
        self.following = following
        self.vms = [
            build_follower(5 if vm < following else 0, self.clock)
            for vm in range(following + others)
        ]
        self.replies = []
        self.claims = []
        self.learned = 0
        self.was_violated = False

    def run(self, events, source: random.Random):
        """Apply random events and check the invariant after each."""
        for _ in range(events):
            self.clock.advance(_STEP_SECONDS * source.random())
            name = source.choice(self._events())
            getattr(self, f'_{name}')(source)
            del self.replies[:-_EVENTS_KEPT]
            del self.claims[:-_EVENTS_KEPT]
            for vm in self.vms[: self.following]:
                vm.drop_expired()
                self.was_violated |= self._is_wrong(vm)

    def _events(self):
        events = ['request', 'request', 'claim', 'claim', 'toggle', 'drill']
        if self.replies:
            events.extend(['reply', 'reply'])
        if self.claims:
            events.extend(itertools.repeat('receive', 4))
        return [*events, 'start']

    def _is_wrong(self, vm):
        known_at = vm.evacuations.confirmed_at
        if known_at < CLOCK_START:
            return False
        then = max(at for at, _ in self.held if at <= known_at)
        sets = [names for at, names in self.held if at >= then]
        exempt = {
            name
            for name, at in self.lost.items()
            if self.clock.now - at <= 30 + _STEP_SECONDS
        }
        lacking = frozenset.intersection(*sets) - vm.evacuated
        excess = vm.evacuated - frozenset.union(*sets) - exempt
        return bool(lacking or excess)

    def _toggle(self, source):
        self._write(self.names ^ {source.choice(_NAMES)})
        self.copies.append((self.number, self.names))
        del self.copies[:-3]

    def _write(self, names):
        self.number += 1
        self._hold(names)

    def _hold(self, names):
        self.names = names
        self.held.append((self.clock.now, names))

    def _drill(self, source):
        """Come back from a copy, rarely."""
        if source.random() > 0.2:
            return
        number, names = source.choice(self.copies)
        for name in _NAMES:
            self.lost[name] = self.clock.now
        self.era += 1
        self.number = number
        self._hold(names)
        self.copies = [(number, names)]

    def _request(self, source):
        snapshot = build_snapshot(join_revision(self.era, self.number))
        vm = source.randrange(len(self.vms))
        snapshot = replace(snapshot, evacuated=self.names)
        self.replies.append((vm, self.clock.now, snapshot))

    def _reply(self, source):
        vm, requested_at, snapshot = source.choice(self.replies)
        self.vms[vm].install(snapshot, requested_at)

    def _start(self, source):
        """Replace a VM by a new process, rarely."""
        if source.random() < 0.1:
            vm = source.randrange(len(self.vms))
            bound = 5 if vm < self.following else 0
            self.vms[vm] = build_follower(bound, self.clock)

    def _claim(self, source):
        sender = source.randrange(len(self.vms))
        receiver = source.randrange(len(self.vms))
        state = self.vms[sender]
        message = build_state_message(state, self.vms[receiver].fingerprint)
        row = evacuations_row(state.evacuations)
        self.claims.append(
            (
                receiver,
                ModelClaim(
                    self.clock.now,
                    state.digest,
                    state.revision,
                    state.confirmed_at,
                    row,
                    message,
                ),
            )
        )

    def _receive(self, source):
        """Receive a datagram, possibly again, and fetch what is newer."""
        receiver, claim = source.choice(self.claims)
        vm = self.vms[receiver]
        if claim.confirmed_at > vm.confirmed_at:
            if claim.digest == vm.digest:
                vm.confirm(claim.revision, claim.confirmed_at)
                self._confirm_wrongly(vm, claim)
            elif claim.revision > vm.revision:
                self._fetch(vm, claim)
        self._receive_row(vm, claim)

    def _receive_row(self, vm, claim):
        if claim.row is None:
            return
        told = claim.row.claim(claim.sent_at)
        if self.fault == 'any claim of evacuations':
            told = EvacuationsClaim(
                told.revision, vm.evacuations.digest, told.confirmed_at
            )
        if vm.evacuations.assess(told) is Verdict.NEWER:
            self._fetch(vm, claim)

    def _confirm_wrongly(self, vm, claim):
        if self.fault.startswith("the state's claim"):
            vm.evacuations.confirm(claim.revision, claim.confirmed_at)

    def _fetch(self, vm, claim):
        message, content = decode_state(encode_message(claim.state))
        if content.evacuations is not None:
            before = vm.evacuated
            vm.install_evacuations(content.evacuations.news(claim.sent_at))
            self.learned += vm.evacuated != before
        elif self.fault.startswith('a state without'):
            vm.install_evacuations(
                EvacuationsNews(
                    frozenset(), message.revision, claim.confirmed_at
                )
            )
        if message.revision > vm.revision:
            snapshot = snapshot_from_message(message, content, vm)
            if snapshot is not None:
                age = message.age_ms / _MS_PER_SECOND
                vm.install(snapshot, claim.sent_at - age)
