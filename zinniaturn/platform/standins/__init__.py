"""
Stand-ins for the platform's store and servers, for tests and experiments.

They implement the platform's published protocol on loopback addresses and can
inject the faults that its documentation lists.
"""

__all__ = (
    'ENDLESS_FAULTS',
    'CrashRule',
    'ServerFault',
    'ServerStandIn',
    'StoreFault',
    'StoreStandIn',
)

from zinniaturn.platform.standins.crashes import CrashRule
from zinniaturn.platform.standins.endless import ENDLESS_FAULTS
from zinniaturn.platform.standins.faults import ServerFault, StoreFault
from zinniaturn.platform.standins.server import ServerStandIn
from zinniaturn.platform.standins.store import StoreStandIn
