"""A small world of a store and VMs, played event by event."""

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
    """A heartbeat, and the state that a fetch after it would bring."""

    digest: int
    revision: int
    confirmed_at: float
    state: StateMessage


class FleetModel:
    """
    A store, VMs and the messages on their way.

    ``history`` keeps when the store took each leaving. The promise: a VM whose
    state is confirmed as of a moment knows every leaving before it. A server
    whose entry was missed in an outage has two seconds to come back.
    """

    def __init__(self, vms, servers, confirms_anything=False):
        self.clock = ManualClock(100)
        self.confirms_anything = confirms_anything
        self.revision = 1
        self.store = {
            f's-{number}': build_registered(f's-{number}')
            for number in range(servers)
        }
        self.history = []
        self.fleet_state = [build_fleet_state(self.clock) for _ in range(vms)]
        self.replies = []
        self.heartbeats = []
        self.taught = 0
        for known in self.fleet_state:
            known.install(self._read(), self.clock.monotonic())

    def events(self):
        """Return the events that may come next, as names and arguments."""
        vms = range(len(self.fleet_state))
        possible = [('leave', name) for name in self.store]
        possible.extend(('ask', vm) for vm in vms)
        possible.extend(
            ('reply', number) for number in range(len(self.replies))
        )
        possible.extend(
            ('heartbeat', pair) for pair in itertools.permutations(vms, 2)
        )
        possible.extend(
            ('hear', number) for number in range(len(self.heartbeats))
        )
        return possible

    def play(self, event):
        """Let an event happen; time passes with each."""
        name, argument = event
        self.clock.advance(_STEP_SECONDS)
        getattr(self, f'_{name}')(argument)

    def broken(self):
        """Return a leaving that a VM has confirmed away, or ``None``."""
        for taken_at, revision, name in self.history:
            for known in self.fleet_state:
                if known.confirmed_at > taken_at and known.revision < revision:
                    return name
                if known.confirmed_at > taken_at and self._uses(known, name):
                    return name
        return None

    def clone(self):
        """Return a world of its own in the same state."""
        return copy.deepcopy(self)

    def _uses(self, known, name):
        registered = known.servers.get(name)
        if registered is None or name in known.grace_until:
            return False
        return not registered.server.leaving

    def _read(self):
        return build_snapshot(self.revision, list(self.store.values()))

    def _leave(self, name):
        self.revision += 1
        if self.store[name].server.leaving:
            self.store.pop(name)
            return
        self.store[name] = build_registered(name, leaving=True)
        self.history.append((self.clock.monotonic(), self.revision, name))

    def _ask(self, vm):
        """A read: sampled by the store now, its reply is on the way."""
        requested_at = self.clock.monotonic()
        self.replies.append((vm, requested_at, self._read()))

    def _reply(self, number):
        vm, requested_at, reading = self.replies[number]
        self.fleet_state[vm].install(reading, requested_at)

    def _heartbeat(self, pair):
        sender, receiver = pair
        known = self.fleet_state[sender]
        heartbeat = ModelHeartbeat(
            known.digest,
            known.revision,
            known.confirmed_at,
            build_state_message(known, self.fleet_state[receiver].fingerprint),
        )
        self.heartbeats.append((receiver, heartbeat))

    def _hear(self, number):
        """A heartbeat arrives, perhaps again, with the state behind it."""
        receiver, heartbeat = self.heartbeats[number]
        known = self.fleet_state[receiver]
        if heartbeat.confirmed_at <= known.confirmed_at:
            return
        if heartbeat.digest == known.digest or self.confirms_anything:
            known.confirm(heartbeat.revision, heartbeat.confirmed_at)
        elif heartbeat.revision > known.revision:
            self._fetch(known, heartbeat)

    def _fetch(self, known, heartbeat):
        packed = decode_state(encode_message(heartbeat.state))
        reading = snapshot_from_message(*packed, known)
        if reading is not None and reading.revision > known.revision:
            change = known.install(reading, heartbeat.confirmed_at)
            self.taught += bool(change.leaving or change.gone)


def play_all(model, depth):
    """Return whether some order of events breaks the promise."""
    if model.broken():
        return True
    if not depth:
        return False
    for event in model.events():
        world = model.clone()
        world.play(event)
        if play_all(world, depth - 1):
            return True
    return False


def play_random(make, count, events, source):
    """Return the worlds after random orders, each checked on its way."""
    worlds = []
    for _ in range(count):
        world = make()
        world.was_broken = False
        for _ in range(events):
            world.play(source.choice(world.events()))
            world.was_broken = world.was_broken or bool(world.broken())
            del world.heartbeats[:-4]
            del world.replies[:-3]
        worlds.append(world)
    return worlds
