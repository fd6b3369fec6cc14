"""The platform's lagging list of live and leaving VMs, behind a port."""

__all__ = ('HttpVmList', 'ListedVm', 'VmList', 'VmListError', 'VmState')

from zinniaturn.vmlist.exceptions import VmListError
from zinniaturn.vmlist.http import HttpVmList
from zinniaturn.vmlist.port import ListedVm, VmList, VmState
