"""
What the program needs of the platform's VM list.

The list lags: a VM may be gone and still be listed as live.
"""

__all__ = ('ListedVm', 'VmList', 'VmState')

import enum
from dataclasses import dataclass
from typing import Protocol


class VmState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM: its name, its IP number and what the platform says of it."""

    name: str
    host: str
    state: VmState
    data_center: str = ''


class VmList(Protocol):
    """The list of VMs."""

    async def read(self) -> tuple[ListedVm, ...]:
        """Return the VMs listed now; raises `VmListError`."""

    async def close(self) -> None:
        """Close the connections."""
