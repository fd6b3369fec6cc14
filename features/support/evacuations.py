"""Builds VMs that follow evacuations, for tests without a network."""

from dataclasses import replace

from features.support.gateway import build_fleet_state, build_snapshot
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.evacuations import (
    Evacuations,
    EvacuationsClaim,
    EvacuationsNews,
)
from zinniaturn.fleet.revisions import join_revision

CLOCK_START = 10_000
BOUND_SECONDS = 5


def names_in(text):
    """Return the names of a step's text, where '-' stands for none."""
    return frozenset(text.split()) - {'-'}


def join(number, era=1):
    """Return the revision of an era."""
    return join_revision(era, number)


def build_follower(bound_seconds=BOUND_SECONDS, clock=None):
    """Return the state of a VM that follows evacuations."""
    fleet_state = build_fleet_state(clock or ManualClock(CLOCK_START))
    fleet_state.follow_evacuations(bound_seconds)
    return fleet_state


def record_changes(fleet_state):
    """Return a list to which the changes of a state are added."""
    changes = []
    fleet_state.observers.append(changes.append)
    return changes


def read_store(fleet_state, names, number, era=1):
    """Let a VM read the store now."""
    snapshot = replace(
        build_snapshot(join(number, era)), evacuated=names_in(names)
    )
    fleet_state.install(snapshot, fleet_state.clock.monotonic())


def claim_of(names, revision, confirmed_at):
    """Return the claim of a VM that holds these names."""
    held = Evacuations(ManualClock(CLOCK_START), BOUND_SECONDS)
    held.install(EvacuationsNews(names_in(names), revision, confirmed_at))
    return EvacuationsClaim(held.revision, held.digest, held.confirmed_at)
