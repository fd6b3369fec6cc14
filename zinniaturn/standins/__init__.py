"""
Small stand-ins of the platform and of backend servers.

They are part of the package since the demo and the experiments use them.
"""

__all__ = ('BackendStandIn', 'ServiceTime', 'StoreStandIn', 'VmListStandIn')

from zinniaturn.standins.backend import BackendStandIn, ServiceTime
from zinniaturn.standins.store import StoreStandIn
from zinniaturn.standins.vm_list import VmListStandIn
