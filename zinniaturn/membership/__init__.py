"""
Membership: which entries exist and whether each is live, leaving or dead.

It combines heartbeats, the lease directories in the store and the platform's
VM list.
"""

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
