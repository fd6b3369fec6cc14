"""Takes in what datagrams tell of VMs, servers and paths to pools."""

__all__ = ('NewsReceiver',)

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from zinniaturn.admission.admission import Admission, ServerNotice
from zinniaturn.admission.table import AdmissionTable
from zinniaturn.fleet.datagrams import Datagram
from zinniaturn.fleet.domain import VmStage, VmStatus
from zinniaturn.fleet.figures import LONGEST_MS
from zinniaturn.fleet.gossip_sender import GossipSender
from zinniaturn.fleet.state_exchange import NETWORK_DELAY_SECONDS
from zinniaturn.fleet.table_sync import TableSync
from zinniaturn.fleet.vms import VmTable
from zinniaturn.reach.reach_table import ReachTable
from zinniaturn.reach.witnesses import PoolResponse

_MS_PER_SECOND = 1000
_URGENT_STAGES = frozenset((VmStage.STOPPING, VmStage.DEAD))


@dataclass(slots=True)
class NewsReceiver:
    """
    Applies news to the tables of this VM and passes on what is new.

    ``push_soon`` pushes news to a few other VMs, and ``on_notice`` is called
    with each admission that another VM has changed.
    """

    vms: VmTable
    admissions: AdmissionTable
    reach: ReachTable
    sender: GossipSender
    table_sync: TableSync
    push_soon: Callable[[], None]
    on_notice: Callable[[Admission], None]

    def learn_statuses(self, statuses: Iterable[VmStatus]) -> None:
        """Apply statuses, pass on what is new and push what is urgent."""
        for status in statuses:
            peer = self.vms.vms.get(status.name)
            cut_off_before = 0 if peer is None else peer.cut_off
            if not self.vms.apply(status):
                if status.name not in self.vms.vms:
                    self.table_sync.note_unknown(status, self.vms.own.name)
                continue
            self.sender.pass_on(status.name)
            is_own = status.name == self.vms.own.name
            is_urgent = status.stage in _URGENT_STAGES
            if is_own or is_urgent or status.cut_off != cut_off_before:
                self.push_soon()

    def learn_notices(self, datagram: Datagram) -> None:
        """Apply what servers have told the sender or others."""
        now = self.vms.clock.monotonic()
        for row in datagram.notices or ():
            said_at = float('-inf')
            if row.age_ms < LONGEST_MS:
                age = row.age_ms / _MS_PER_SECOND
                said_at = now - age - NETWORK_DELAY_SECONDS
            notice = ServerNotice(
                row.server,
                row.started_ms,
                row.limit,
                row.is_leaving,
                said_at,
                datagram.sender.name,
            )
            changed = self.admissions.adopt(
                notice, row.hand_over_ms / _MS_PER_SECOND
            )
            if changed is not None:
                self.sender.pass_on_notice(row.server)
                self.on_notice(changed)

    def learn_reach(self, datagram: Datagram) -> None:
        """Apply what the sender knows of the paths to pools."""
        row = datagram.reach
        sent_at = self.vms.clock.monotonic() - NETWORK_DELAY_SECONDS
        self.reach.learn(
            datagram.sender.name,
            row.questions,
            [
                PoolResponse(
                    one.pool, one.vm, sent_at - one.age_ms / _MS_PER_SECOND
                )
                for one in row.responses
            ],
        )

    def apply_table(self, statuses: list[VmStatus]) -> None:
        """Apply another VM's table, which the others already know."""
        for status in statuses:
            changed = self.vms.apply(status)
            if changed and status.name == self.vms.own.name:
                self.sender.pass_on(status.name)
