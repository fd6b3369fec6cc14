"""The ports of the gateway process, and what is served on them."""

__all__ = ('Port', 'build_ports')

from collections.abc import Sequence
from dataclasses import dataclass

from zinniaturn.fleet.state_exchange import StateService
from zinniaturn.fleet.state_packing import StatePacker
from zinniaturn.gateway.dispatch import Dispatcher
from zinniaturn.gateway.endpoints import (
    LookupEndpoint,
    MetricsEndpoint,
    OperatorEndpoint,
    ReadinessEndpoint,
)
from zinniaturn.gateway.metrics import render_metrics
from zinniaturn.gateway.relay_service import PeerService, RelayService
from zinniaturn.gateway.settings import GatewaySettings
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.client_account import ClientAccount, Place
from zinniaturn.http1.connections import Address
from zinniaturn.http1.exchanges import Service
from zinniaturn.placing.address_selection import AddressSelector


@dataclass(frozen=True, slots=True)
class Port:
    """A port to listen on; without an address it is not served."""

    place: Place
    address: Address | None
    service: Service


def build_ports(
    settings: GatewaySettings,
    state: GatewayState,
    dispatcher: Dispatcher,
    clients: ClientAccount,
) -> tuple[Port, ...]:
    """Return the ports that a process with these settings may have."""
    host = settings.host
    has_metrics = settings.metrics_port > 0
    address_selector = AddressSelector(
        state.random_source, min(2.0, settings.bounds.lookup_seconds)
    )
    look_ups = LookupEndpoint(state, address_selector)
    return (
        Port(
            Place.VMS,
            (host, settings.first_port + 1),
            PeerService(
                StateService(StatePacker(state.fleet_state), state.vms),
                RelayService.build(state, dispatcher),
            ),
        ),
        Port(Place.CALLERS, settings.front, dispatcher),
        Port(Place.READINESS, settings.readiness, ReadinessEndpoint(state)),
        Port(
            Place.LOOK_UPS,
            settings.directory,
            look_ups,
        ),
        Port(
            Place.METRICS,
            (host, settings.metrics_port) if has_metrics else None,
            MetricsEndpoint(
                lambda: render_metrics(state, clients),
                lambda: _operator_endpoints(dispatcher, look_ups),
            ),
        ),
    )


def _operator_endpoints(
    dispatcher: Dispatcher, look_ups: LookupEndpoint
) -> Sequence[OperatorEndpoint]:
    """Return the endpoints that a process which is not asked never loads."""
    from zinniaturn.gateway.operator_endpoints import build_operator_endpoints

    return build_operator_endpoints(dispatcher, look_ups)
