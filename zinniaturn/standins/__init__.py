"""
Small stand-ins of the platform and of backend servers.

They are part of the package since the demo and the experiments use them.
"""

__all__ = ('BackendStandIn', 'ServiceTime', 'StoreStandIn')

from zinniaturn.standins.backend import BackendStandIn, ServiceTime
from zinniaturn.standins.store import StoreStandIn
