"""The gateway's own HTTP endpoints: address look-up, readiness and metrics."""

__all__ = (
    'LookupEndpoint',
    'MetricsEndpoint',
    'OperatorEndpoint',
    'ReadinessEndpoint',
)

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.domain import VmRecord, VmStage
from zinniaturn.fleet.vms import cut_off_vms, outdated_vms, serving_vms
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.exchanges import CallerExchange
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import Request, Response
from zinniaturn.locality.look_ups import LocalShare, LocalVms
from zinniaturn.placing.address_selection import (
    AddressSelector,
    demand_step,
    vms_for_demand,
    vms_up_to_date,
    vms_with_paths,
)
from zinniaturn.placing.demand import load_of_data_center

_MAX_LOGGED_VMS = 64
_METRICS_TYPE = (b'Content-Type', b'text/plain; version=0.0.4')


class OperatorEndpoint(Protocol):
    """Answers the requests of operators at the metrics port."""

    def handle(self, request: Request) -> Response | None:
        """Return the response, ``None`` if the target is another one."""


@dataclass(slots=True)
class LookupEndpoint:
    """
    Answers callers' look-ups with the addresses of gateways to use.

    ``selected`` are the VMs for the situation ``selected_for``. They are
    selected anew, and logged if they differ, only when the VMs or the demand
    have changed.
    """

    state: GatewayState
    address_selector: AddressSelector
    selected: list[VmRecord] = field(default_factory=list)
    selected_for: tuple[int, bool, float] | None = None
    limits: CallerLimits = field(default_factory=CallerLimits)
    is_stopping: bool = False
    local: LocalVms = field(init=False)

    def __post_init__(self) -> None:
        """Begin without any VM."""
        self.local = LocalVms(
            self.address_selector.random_source,
            self.address_selector.max_addresses,
        )

    def handle(self, exchange: CallerExchange) -> Response:
        """Return the addresses to use, or 503 if no gateway serves."""
        wire_format = self.state.wire_format
        query = wire_format.lookup_query(exchange.request)
        if query is None:
            return Response(404, b'', [])
        self.update_selected()
        fronts = self.fronts_for(query.data_center)
        if not fronts:
            return Response(503, b'', [(b'Retry-After', b'0.1')])
        self.state.counters.events['lookup'] += 1
        return wire_format.lookup_response(
            fronts, self.address_selector.lifetime_seconds
        )

    def fronts_for(self, data_center: str) -> list[str]:
        """Return the addresses for a caller of a data centre, '' if unknown."""
        demand = self.state.fleet_request_rate()
        if not self.prefers_own(data_center, demand):
            return self.address_selector.select(self.selected)
        self._review_share(data_center, demand)
        return [vm.front for vm in self.local.choose(data_center)]

    def prefers_own(self, data_center: str, demand: float) -> bool:
        """Return whether callers of a data centre get VMs of it first."""
        return (
            self.state.locality.activation.is_on
            and self.local.is_mixed(data_center)
            and self.local.capacity(data_center) > 0
            and math.isfinite(demand)
        )

    def update_selected(self) -> None:
        """Select the VMs anew if the situation has changed."""
        own_is_ready = self.state.stage is VmStage.READY
        vms = self.state.vms
        demand = demand_step(self.state.fleet_request_rate())
        situation = vms.change_count, own_is_ready, demand
        if situation == self.selected_for:
            return
        self.selected_for = situation
        cut_off = cut_off_vms(vms)
        outdated = outdated_vms(vms)
        serving = vms_with_paths(
            vms_up_to_date(serving_vms(vms, own_is_ready), outdated),
            cut_off,
            demand,
        )
        selected = vms_for_demand(serving, demand)
        if selected != self.selected:
            self.state.event_log.write(
                LogEvent.LOOKUPS_CHANGED,
                others=[vm.name for vm in selected[:_MAX_LOGGED_VMS]],
                count=len(selected),
                demand=demand if math.isfinite(demand) else None,
                alive=len(vms.alive_vms()),
                cut_off=len(cut_off),
                outdated=len(outdated),
            )
        self.selected = selected
        self.local.set_selected(selected)

    def _review_share(self, data_center: str, demand: float) -> None:
        """Correct the share of own VMs by their loads."""
        capacity = self.local.capacity(data_center)
        now = self.state.vms.clock.monotonic()
        share = self.local.shares.get(data_center)
        if share is None:
            expected = demand / len(self.local.by_data_center)
            share = LocalShare.for_demand(capacity, expected)
            share.reviewed_at = now
            self.local.shares[data_center] = share
        if share.is_due(now):
            share.review(
                load_of_data_center(
                    self.state.vms, data_center, self.state.own_request_rate()
                ),
                capacity,
                now,
            )


@dataclass(slots=True)
class ReadinessEndpoint:
    """Reports whether the gateway accepts new requests."""

    state: GatewayState
    limits: CallerLimits = field(default_factory=CallerLimits)
    is_stopping: bool = False

    def handle(self, exchange: CallerExchange) -> Response:
        """Return 200 from the first tables until the stop, otherwise 503."""
        if not self.state.wire_format.is_readiness_check(exchange.request):
            return Response(404, b'', [])
        is_ready = self.state.stage is VmStage.READY
        return Response(200 if is_ready else 503, b'', [])


@dataclass(slots=True)
class MetricsEndpoint:
    """
    Serves the metrics in the Prometheus text format, and operators.

    ``operators`` are built at the first request that isn't for metrics.
    """

    render: Callable[[], bytes]
    build_operators: Callable[[], Sequence[OperatorEndpoint]]
    operators: Sequence[OperatorEndpoint] | None = None
    limits: CallerLimits = field(default_factory=CallerLimits)
    is_stopping: bool = False

    def handle(self, exchange: CallerExchange) -> Response:
        """Return all metrics, or what one of the other endpoints returns."""
        if exchange.request.target == b'/metrics':
            return Response(200, b'', [_METRICS_TYPE], self.render())
        if self.operators is None:
            self.operators = self.build_operators()
        for endpoint in self.operators:
            response = endpoint.handle(exchange.request)
            if response is not None:
                return response
        return Response(404, b'', [])
