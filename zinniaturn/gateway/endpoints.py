"""The gateway's own HTTP endpoints: address look-up, readiness and metrics."""

__all__ = ('LookupEndpoint', 'MetricsEndpoint', 'ReadinessEndpoint')

from collections.abc import Callable
from dataclasses import dataclass, field

from zinniaturn.fleet.domain import VmStage
from zinniaturn.fleet.vms import serving_vms
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.exchanges import CallerExchange
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import Response
from zinniaturn.placing.address_selection import AddressSelector

_METRICS_TYPE = (b'Content-Type', b'text/plain; version=0.0.4')


@dataclass(slots=True)
class LookupEndpoint:
    """Answers callers' look-ups with the addresses of gateways to use."""

    state: GatewayState
    address_selector: AddressSelector
    limits: CallerLimits = field(default_factory=CallerLimits)
    is_stopping: bool = False

    def handle(self, exchange: CallerExchange) -> Response:
        """Return the addresses to use, or 503 if no gateway serves."""
        wire_format = self.state.wire_format
        query = wire_format.lookup_query(exchange.request)
        if query is None:
            return Response(404, b'', [])
        own_is_ready = self.state.stage is VmStage.READY
        vms = serving_vms(self.state.vms, own_is_ready)
        fronts = self.address_selector.select(
            vms, self.state.fleet_request_rate()
        )
        if not fronts:
            return Response(503, b'', [(b'Retry-After', b'0.1')])
        self.state.counters.events['lookup'] += 1
        return wire_format.lookup_response(
            fronts, self.address_selector.lifetime_seconds
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
    """Serves the metrics in the Prometheus text format."""

    render: Callable[[], bytes]
    limits: CallerLimits = field(default_factory=CallerLimits)
    is_stopping: bool = False

    def handle(self, exchange: CallerExchange) -> Response:
        """Return all metrics."""
        if exchange.request.target != b'/metrics':
            return Response(404, b'', [])
        return Response(200, b'', [_METRICS_TYPE], self.render())
