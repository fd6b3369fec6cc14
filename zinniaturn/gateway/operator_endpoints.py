"""The endpoints of operators, loaded at the first request for one of them."""

__all__ = ('build_operator_endpoints',)

from zinniaturn.gateway.dispatch import Dispatcher
from zinniaturn.gateway.endpoints import LookupEndpoint, OperatorEndpoint
from zinniaturn.gateway.evacuations_endpoint import EvacuationsEndpoint
from zinniaturn.gateway.quarantine_endpoint import QuarantineEndpoint
from zinniaturn.gateway.tenants_endpoint import TenantsEndpoint
from zinniaturn.gateway.where_endpoint import WhereEndpoint


def build_operator_endpoints(
    dispatcher: Dispatcher, look_ups: LookupEndpoint
) -> tuple[OperatorEndpoint, ...]:
    """Return the endpoints of one process."""
    state = dispatcher.state
    return (
        QuarantineEndpoint(state),
        WhereEndpoint(dispatcher, look_ups),
        TenantsEndpoint(state),
        EvacuationsEndpoint(state),
    )
