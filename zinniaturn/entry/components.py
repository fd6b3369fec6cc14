"""
The background components of an entry, in the order in which they start.

A component runs its own tasks and is stopped before the entry's connections
are closed. New components are added to `build_components`.
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
    """A subsystem that runs beside the data plane."""

    async def start(self) -> None:
        """Start the component; return once it is ready for use."""

    async def stop(self) -> None:
        """Stop the component and wait for its end."""


def build_components(
    state: EntryState,
    store: ConfigurationStore,
    security: PeerSecurity,
) -> list[Component]:
    """Return the components of an entry."""
    control = ControlPlaneComponent(state, store, security)
    leaving = LeavingServerTracker(state)
    gossip = control.control.gossip
    gossip.note_providers[LEAVING_TOPIC] = leaving.make_note
    gossip.note_receivers[LEAVING_TOPIC] = leaving.receive_note
    gossip.note_providers[OVERLOAD_TOPIC] = state.overload.make_note
    gossip.note_receivers[OVERLOAD_TOPIC] = state.overload.receive_note
    return [
        control,
        leaving,
        LoopDelayMonitor(state.overload),
        ProbeScheduler(state, store),
        LeavingServerHealthChecker(state),
    ]
