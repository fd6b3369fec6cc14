"""
Stand-ins of the platform's store and servers, for tests and experiments.

They speak the platform's published protocol on loopback and misbehave in the
ways that its pages list.
"""

__all__ = ('ServerFault', 'ServerStandIn', 'StoreFault', 'StoreStandIn')

from zinniaturn.platform.standins.faults import ServerFault, StoreFault
from zinniaturn.platform.standins.server import ServerStandIn
from zinniaturn.platform.standins.store import StoreStandIn
