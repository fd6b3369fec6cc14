"""
The interface that an entry needs of the platform's VM list.

The list lags: a VM may have stopped and still be listed as live.
"""

__all__ = ('ListedVm', 'VmList', 'VmState')

import enum
from dataclasses import dataclass
from typing import Protocol


class VmState(enum.Enum):
    """The state of a VM according to the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM in the list: its name, IP address, state and data centre."""

    name: str
    host: str
    state: VmState
    data_center: str = ''


class VmList(Protocol):
    """A client of the VM list."""

    async def read(self) -> tuple[ListedVm, ...]:
        """Return the listed VMs; raises `VmListError`."""

    async def close(self) -> None:
        """Close the connections."""
