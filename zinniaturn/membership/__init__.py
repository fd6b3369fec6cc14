"""Who is an entry, and whether it is live or leaving."""

__all__ = (
    'Evidence',
    'Heartbeat',
    'LeaseKeeper',
    'Member',
    'MemberState',
    'MemberTable',
    'VmListPoller',
    'classify_member',
)

from zinniaturn.membership.domain import Heartbeat, Member
from zinniaturn.membership.failure_detector import (
    Evidence,
    MemberState,
    classify_member,
)
from zinniaturn.membership.leases import LeaseKeeper
from zinniaturn.membership.table import MemberTable
from zinniaturn.membership.vm_list_poller import VmListPoller
