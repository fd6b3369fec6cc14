"""
The background parts of an entry, in the order in which they start.

A part has its own tasks and stops before the entry's listeners close. A new
subsystem adds itself to `build_components`.
"""

__all__ = ('Component', 'build_components')

from typing import Protocol

from zinniaturn.entry.control_plane_component import ControlPlaneComponent
from zinniaturn.entry.leaving_server_health import LeavingServerHealthChecker
from zinniaturn.entry.leaving_servers import LEAVING_TOPIC, LeavingServerTracker
from zinniaturn.entry.overload import OVERLOAD_TOPIC, LoopDelayMonitor
from zinniaturn.entry.probe_scheduler import ProbeScheduler
from zinniaturn.entry.state import EntryState
from zinniaturn.peers import PeerSecurity
from zinniaturn.store import ConfigurationStore


class Component(Protocol):
    """Something that runs beside the data plane."""

    async def start(self) -> None:
        """Begin the work; return once it can be relied upon."""

    async def stop(self) -> None:
        """End the work and wait for it."""


def build_components(
    state: EntryState,
    store: ConfigurationStore,
    security: PeerSecurity,
) -> list[Component]:
    """Return the parts of an entry."""
    control = ControlPlaneComponent(state, store, security)
    leaving = LeavingServerTracker(state)
    exchange = control.control.exchange
    exchange.providers[LEAVING_TOPIC] = leaving.make_note
    exchange.receivers[LEAVING_TOPIC] = leaving.receive_note
    exchange.providers[OVERLOAD_TOPIC] = state.overload.make_note
    exchange.receivers[OVERLOAD_TOPIC] = state.overload.receive_note
    return [
        control,
        leaving,
        LoopDelayMonitor(state.overload),
        ProbeScheduler(state, store),
        LeavingServerHealthChecker(state),
    ]
