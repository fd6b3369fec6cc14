"""What the control plane of an entry holds, for the other parts to use."""

__all__ = ('ControlPlane',)

from dataclasses import dataclass

from zinniaturn.clock import Clock
from zinniaturn.configuration import StoreWatcher
from zinniaturn.membership import MemberTable, VmWatch
from zinniaturn.membership.domain import Member
from zinniaturn.membership.evidence import MemberState
from zinniaturn.membership.ranking import is_on_duty
from zinniaturn.membership.reporter import Reporter
from zinniaturn.peers import PeerExchange

WATCHERS = 3

_WATCH_DUTY = 'watch'


@dataclass(slots=True)
class ControlPlane:
    """
    The control plane's parts.

    ``table`` knows the other entries, ``vms`` what the VM list says, and
    ``exchange`` carries notes of other subsystems.
    """

    clock: Clock
    table: MemberTable
    exchange: PeerExchange
    watcher: StoreWatcher
    reporter: Reporter
    vms: VmWatch | None = None

    def live_members(self) -> list[Member]:
        """Return the other entries that callers may be sent to."""
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
        duty = f'{_WATCH_DUTY} {me.data_center}'
        return is_on_duty(duty, me.name, others, WATCHERS)

    def confirmed_age(self) -> float | None:
        """Return the seconds since the store confirmed the revision."""
        known = [
            moment
            for moment in (
                self.watcher.confirmed_at,
                self.exchange.confirmed_at,
            )
            if moment is not None
        ]
        return self.clock.monotonic() - max(known) if known else None
