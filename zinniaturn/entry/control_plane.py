"""Access to the control plane of an entry for its other components."""

__all__ = ('ControlPlane',)

from dataclasses import dataclass

from zinniaturn.clock import Clock
from zinniaturn.configuration import StoreWatcher
from zinniaturn.membership import MemberTable, VmListPoller
from zinniaturn.membership.domain import Member
from zinniaturn.membership.failure_detector import MemberState
from zinniaturn.membership.ranking import is_selected
from zinniaturn.membership.reporter import Reporter
from zinniaturn.peers import PeerGossip

WATCHERS_PER_DATA_CENTER = 3

_WATCH_ROLE = 'watch'


@dataclass(slots=True)
class ControlPlane:
    """
    The objects of the control plane.

    ``table`` holds the known entries, ``vms`` follows the VM list, and
    ``gossip`` also carries the gossip payloads of other components.
    """

    clock: Clock
    table: MemberTable
    gossip: PeerGossip
    watcher: StoreWatcher
    reporter: Reporter
    vms: VmListPoller | None = None

    def live_members(self) -> list[Member]:
        """Return the other entries that are live."""
        return self.table.members_in(MemberState.LIVE)

    def is_leaving_vm(self, name: str) -> bool:
        """Return whether the VM list says that a VM is leaving."""
        return self.vms is not None and self.vms.is_leaving(name)

    def watches_store(self) -> bool:
        """Return whether this entry is one of its data centre's watchers."""
        me = self.table.me
        others = [
            member.name
            for member in self.live_members()
            if member.data_center == me.data_center
        ]
        role = f'{_WATCH_ROLE} {me.data_center}'
        return is_selected(role, me.name, others, WATCHERS_PER_DATA_CENTER)

    def confirmed_age(self) -> float | None:
        """Return the seconds since the revision was last confirmed, if ever."""
        times = [
            confirmed_at
            for confirmed_at in (
                self.watcher.confirmed_at,
                self.gossip.confirmed_at,
            )
            if confirmed_at is not None
        ]
        return self.clock.monotonic() - max(times) if times else None
