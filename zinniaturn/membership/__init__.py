"""Who is an entry, and whether it is live or leaving."""

__all__ = (
    'Evidence',
    'Heartbeat',
    'LeaseKeeper',
    'Member',
    'MemberState',
    'MemberTable',
    'VmWatch',
    'judge_member',
)

from zinniaturn.membership.domain import Heartbeat, Member
from zinniaturn.membership.evidence import (
    Evidence,
    MemberState,
    judge_member,
)
from zinniaturn.membership.leases import LeaseKeeper
from zinniaturn.membership.table import MemberTable
from zinniaturn.membership.vm_watch import VmWatch
