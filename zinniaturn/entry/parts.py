"""
The background parts of an entry, in the order in which they start.

A part has its own tasks and stops before the entry's listeners close. A new
subsystem adds itself to `build_parts`.
"""

__all__ = ('Part', 'build_parts')

from typing import Protocol

from zinniaturn.entry.control_part import ControlPart
from zinniaturn.entry.health_part import HealthPart
from zinniaturn.entry.leaving_part import LEAVING_TOPIC, LeavingPart
from zinniaturn.entry.overload import OVERLOAD_TOPIC, OverloadPart
from zinniaturn.entry.probes_part import ProbesPart
from zinniaturn.entry.state import EntryState
from zinniaturn.peers import PeerSecurity
from zinniaturn.store import ConfigurationStore


class Part(Protocol):
    """Something that runs beside the data plane."""

    async def start(self) -> None:
        """Begin the work; return once it can be relied upon."""

    async def stop(self) -> None:
        """End the work and wait for it."""


def build_parts(
    state: EntryState,
    store: ConfigurationStore,
    security: PeerSecurity,
) -> list[Part]:
    """Return the parts of an entry."""
    control = ControlPart(state, store, security)
    leaving = LeavingPart(state)
    exchange = control.control.exchange
    exchange.providers[LEAVING_TOPIC] = leaving.provide
    exchange.receivers[LEAVING_TOPIC] = leaving.receive
    exchange.providers[OVERLOAD_TOPIC] = state.overload.provide
    exchange.receivers[OVERLOAD_TOPIC] = state.overload.receive
    return [
        control,
        leaving,
        OverloadPart(state.overload),
        ProbesPart(state, store),
        HealthPart(state),
    ]
