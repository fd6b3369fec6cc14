"""Interface to the platform's list of live and leaving VMs, which lags."""

__all__ = ('HttpVmList', 'ListedVm', 'VmList', 'VmListError', 'VmState')

from zinniaturn.vmlist.exceptions import VmListError
from zinniaturn.vmlist.http import HttpVmList
from zinniaturn.vmlist.port import ListedVm, VmList, VmState
