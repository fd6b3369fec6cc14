"""Model of a store and VMs, run event by event."""

import copy
import itertools
from dataclasses import dataclass

from features.support.gateway import (
    build_fleet_state,
    build_registered,
    build_snapshot,
)
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.messages import (
    StateMessage,
    build_state_message,
    decode_state,
    encode_message,
    snapshot_from_message,
)

_STEP_SECONDS = 0.5


@dataclass(frozen=True)
class ModelHeartbeat:
    """A heartbeat and the state that a fetch would return."""

    digest: int
    revision: int
    confirmed_at: float
    state: StateMessage


class FleetModel:
    """
    A store, VMs and the messages in transit between them.

    ``history`` records when the store was told of each leaving server. The
    invariant: a VM whose state is confirmed as of a time knows of every server
    that began to leave before. A server whose entry is missing after an outage
    has two seconds to register again, and is exempt until then.
    """

    def __init__(self, vms, servers, confirms_anything=False, decode=None):
        self.clock = ManualClock(100)
        self.confirms_anything = confirms_anything
        self.revision = 1
        self.store = {
            f's-{number}': build_registered(f's-{number}')
            for number in range(servers)
        }
        self.history = []
        self.vm_states = [
            build_fleet_state(self.clock, decode) for _ in range(vms)
        ]
        self.replies = []
        self.heartbeats = []
        self.learned_from_peers = 0
        for fleet_state in self.vm_states:
            fleet_state.install(self._snapshot(), self.clock.monotonic())

    def events(self):
        """Return the possible next events, as names and arguments."""
        vms = range(len(self.vm_states))
        possible = [('leave', name) for name in self.store]
        possible.extend(('request', vm) for vm in vms)
        possible.extend(
            ('reply', number) for number in range(len(self.replies))
        )
        possible.extend(
            ('heartbeat', pair) for pair in itertools.permutations(vms, 2)
        )
        possible.extend(
            ('receive', number) for number in range(len(self.heartbeats))
        )
        return possible

    def apply(self, event):
        """Apply an event and advance the clock."""
        name, argument = event
        self.clock.advance(_STEP_SECONDS)
        getattr(self, f'_{name}')(argument)

    def find_violation(self):
        """Return a leaving server that a confirmed state misses, or None."""
        for taken_at, revision, name in self.history:
            for fleet_state in self.vm_states:
                if (
                    fleet_state.confirmed_at > taken_at
                    and fleet_state.revision < revision
                ):
                    return name
                if fleet_state.confirmed_at > taken_at and self._uses(
                    fleet_state, name
                ):
                    return name
        return None

    def clone(self):
        """Return an independent copy of the model."""
        return copy.deepcopy(self)

    def _uses(self, fleet_state, name):
        registered = fleet_state.servers.get(name)
        if registered is None or name in fleet_state.grace_until:
            return False
        return not registered.server.leaving

    def _snapshot(self):
        return build_snapshot(self.revision, list(self.store.values()))

    def _leave(self, name):
        self.revision += 1
        if self.store[name].server.leaving:
            self.store.pop(name)
            return
        self.store[name] = build_registered(name, leaving=True)
        self.history.append((self.clock.monotonic(), self.revision, name))

    def _request(self, vm):
        """Read the store now; the reply arrives with a later event."""
        requested_at = self.clock.monotonic()
        self.replies.append((vm, requested_at, self._snapshot()))

    def _reply(self, number):
        vm, requested_at, snapshot = self.replies[number]
        self.vm_states[vm].install(snapshot, requested_at)

    def _heartbeat(self, pair):
        sender, receiver = pair
        fleet_state = self.vm_states[sender]
        heartbeat = ModelHeartbeat(
            fleet_state.digest,
            fleet_state.revision,
            fleet_state.confirmed_at,
            build_state_message(
                fleet_state, self.vm_states[receiver].fingerprint
            ),
        )
        self.heartbeats.append((receiver, heartbeat))

    def _receive(self, number):
        """Receive a heartbeat, possibly again, and fetch its state if newer."""
        receiver, heartbeat = self.heartbeats[number]
        fleet_state = self.vm_states[receiver]
        if heartbeat.confirmed_at <= fleet_state.confirmed_at:
            return
        if heartbeat.digest == fleet_state.digest or self.confirms_anything:
            fleet_state.confirm(heartbeat.revision, heartbeat.confirmed_at)
        elif heartbeat.revision > fleet_state.revision:
            self._fetch(fleet_state, heartbeat)

    def _fetch(self, fleet_state, heartbeat):
        decoded = decode_state(encode_message(heartbeat.state))
        snapshot = snapshot_from_message(*decoded, fleet_state)
        if snapshot is not None and snapshot.revision > fleet_state.revision:
            change = fleet_state.install(snapshot, heartbeat.confirmed_at)
            self.learned_from_peers += bool(change.leaving or change.gone)


def violates_invariant(model, depth):
    """Return whether some sequence of events violates the invariant."""
    if model.find_violation():
        return True
    if not depth:
        return False
    for event in model.events():
        successor = model.clone()
        successor.apply(event)
        if violates_invariant(successor, depth - 1):
            return True
    return False


def run_random(make, count, events, source):
    """Return the models after random sequences, checked after each event."""
    models = []
    for _ in range(count):
        model = make()
        model.was_violated = False
        for _ in range(events):
            model.apply(source.choice(model.events()))
            model.was_violated = model.was_violated or bool(
                model.find_violation(),
            )
            del model.heartbeats[:-4]
            del model.replies[:-3]
        models.append(model)
    return models
