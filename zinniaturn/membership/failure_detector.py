"""
Derives the state of a member from its heartbeats, its lease and the VM list.

Each of the three sources is wrong sometimes, so the table ranks them: the
member's own heartbeats come before the lease directory, and both come before
the VM list. That list lags, so a VM that is missing there proves nothing.
"""

__all__ = (
    'DEAD_AFTER_SECONDS',
    'SUSPECT_AFTER_SECONDS',
    'Evidence',
    'HeartbeatAge',
    'MemberState',
    'classify_member',
)

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from zinniaturn.vmlist import VmState

SUSPECT_AFTER_SECONDS = 6.0
DEAD_AFTER_SECONDS = 15.0


class MemberState(enum.Enum):
    """
    The state of a member as one entry sees it.

    Only live members are returned to callers. Suspect members still receive
    gossip; dead ones do not, and are later removed.
    """

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class HeartbeatAge(enum.Enum):
    """The age class of a member's last heartbeat."""

    FRESH = 'fresh'
    LATE = 'late'
    SILENT = 'silent'


@dataclass(frozen=True, slots=True)
class Evidence:
    """
    What an observing entry knows of a member.

    ``heartbeat_age`` is in seconds on the observer's monotonic clock.
    ``is_leased`` says whether the directory in the store lists the member, and
    is ``None`` if the directory has not been read. ``is_isolated`` says that
    the observer receives no heartbeats from anyone, so the missing heartbeats
    may be due to its own network connection.
    """

    heartbeat_age: float
    announced_leaving: bool = False
    is_leased: bool | None = None
    vm_state: VmState | None = None
    is_isolated: bool = False


_STATES: Mapping[tuple[HeartbeatAge, bool | None, bool], MemberState] = (
    MappingProxyType(
        {
            (HeartbeatAge.FRESH, True, False): MemberState.LIVE,
            (HeartbeatAge.FRESH, False, False): MemberState.LIVE,
            (HeartbeatAge.FRESH, None, False): MemberState.LIVE,
            (HeartbeatAge.FRESH, True, True): MemberState.LIVE,
            (HeartbeatAge.FRESH, False, True): MemberState.LIVE,
            (HeartbeatAge.FRESH, None, True): MemberState.LIVE,
            (HeartbeatAge.LATE, True, False): MemberState.SUSPECT,
            (HeartbeatAge.LATE, False, False): MemberState.SUSPECT,
            (HeartbeatAge.LATE, None, False): MemberState.SUSPECT,
            (HeartbeatAge.LATE, True, True): MemberState.LIVE,
            (HeartbeatAge.LATE, False, True): MemberState.SUSPECT,
            (HeartbeatAge.LATE, None, True): MemberState.LIVE,
            (HeartbeatAge.SILENT, True, False): MemberState.DEAD,
            (HeartbeatAge.SILENT, False, False): MemberState.DEAD,
            (HeartbeatAge.SILENT, None, False): MemberState.DEAD,
            (HeartbeatAge.SILENT, True, True): MemberState.LIVE,
            (HeartbeatAge.SILENT, False, True): MemberState.SUSPECT,
            (HeartbeatAge.SILENT, None, True): MemberState.SUSPECT,
        }
    )
)


def classify_member(evidence: Evidence) -> MemberState:
    """
    Return the state of a member.

    Unless it is dead, a member counts as leaving if its heartbeat or the VM
    list says so: a false report only costs a share of the capacity, but a
    missed one costs requests.

    >>> classify_member(Evidence(0.5))
    <MemberState.LIVE: 'live'>
    >>> classify_member(Evidence(0.5, vm_state=VmState.LEAVING))
    <MemberState.LEAVING: 'leaving'>
    """
    age = classify_heartbeat_age(evidence.heartbeat_age)
    state = _STATES[age, evidence.is_leased, evidence.is_isolated]
    if state is MemberState.DEAD:
        return state
    if evidence.announced_leaving or evidence.vm_state is VmState.LEAVING:
        return MemberState.LEAVING
    return state


def classify_heartbeat_age(heartbeat_age: float) -> HeartbeatAge:
    """Return the age class of a heartbeat that is so many seconds old."""
    if heartbeat_age < SUSPECT_AFTER_SECONDS:
        return HeartbeatAge.FRESH
    if heartbeat_age < DEAD_AFTER_SECONDS:
        return HeartbeatAge.LATE
    return HeartbeatAge.SILENT
