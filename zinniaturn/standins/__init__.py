"""
In-process test doubles of the platform's services and of backend servers.

They belong to the package because the demo and the experiments use them too.
"""

__all__ = ('BackendStandIn', 'ServiceTime', 'StoreStandIn', 'VmListStandIn')

from zinniaturn.standins.backend import BackendStandIn, ServiceTime
from zinniaturn.standins.store import StoreStandIn
from zinniaturn.standins.vm_list import VmListStandIn
