"""
Decides when a VM fetches another's table of VMs.

Statuses are passed on a limited number of times, so a VM can miss one. Each
datagram has a checksum of which VMs its sender takes for alive. It differs for
a moment after each change; a VM for which it differs from everyone's for longer
has missed something. A VM that has just started knows few VMs and fetches the
first table that it can get.
"""

__all__ = ('TableSync',)

from dataclasses import dataclass

from zinniaturn.fleet.domain import VmRecord, VmStage, VmStatus
from zinniaturn.fleet.vms import VmTable

_MISMATCH_SECONDS = 0.6
_MIN_INTERVAL_SECONDS = 1.0
_MIN_INTERVAL_WITHOUT_RECORDS_SECONDS = 0.25
# Until this time a table of another data centre is not fetched.
_NEAR_ONLY_SECONDS = 0.3


@dataclass(slots=True)
class TableSync:
    """
    Tracks how long this VM's table has differed from those of the others.

    ``lacks_records`` is set while a status of a VM without a known record has
    arrived. A whole table is fetched at most once a second, or four times while
    records are lacking, so its cost is bounded whatever the number of changes.
    """

    vms: VmTable
    differs_since: float | None = None
    fetched_at: float = float('-inf')
    lacks_records: bool = True

    def note_unknown(self, status: VmStatus, own_name: str) -> None:
        """Note a status that could not be used without the VM's record."""
        if status.stage is not VmStage.DEAD and status.name != own_name:
            self.lacks_records = True

    def compare(self, checksum: int, now: float) -> bool:
        """Compare another VM's checksum; return whether it differs."""
        if checksum == self.vms.checksum():
            self.differs_since = None
            self.lacks_records = False
            return False
        if self.differs_since is None:
            self.differs_since = now
        return True

    def should_fetch(self, holder: VmRecord, now: float) -> bool:
        """Return whether to fetch the table of a VM now."""
        if self.differs_since is None:
            return False
        interval = (
            _MIN_INTERVAL_WITHOUT_RECORDS_SECONDS
            if self.lacks_records
            else _MIN_INTERVAL_SECONDS
        )
        if now - self.fetched_at < interval:
            return False
        waited = now - self.differs_since
        is_near = holder.data_center == self.vms.own.data_center
        is_far_allowed = waited > _NEAR_ONLY_SECONDS or len(self.vms.vms) < 2
        is_due = self.lacks_records or waited > _MISMATCH_SECONDS
        if not is_due or not (is_near or is_far_allowed):
            return False
        self.fetched_at = now
        self.differs_since = now
        return True
