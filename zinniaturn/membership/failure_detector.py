"""
What is known of a member, and what follows from it.

There are three witnesses, and each is wrong sometimes. The table states which
one is believed: a member's own heartbeats before the lease directory, and both
before the VM list, whose lag makes its silence mean nothing.
"""

__all__ = (
    'DEAD_AFTER_SECONDS',
    'SUSPECT_AFTER_SECONDS',
    'Evidence',
    'MemberState',
    'Sign',
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
    What a member is taken for.

    Only a live one is named to callers. A suspect one is still talked to; a
    dead one is forgotten.
    """

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class Sign(enum.Enum):
    """How old a member's last heartbeat is."""

    FRESH = 'fresh'
    LATE = 'late'
    SILENT = 'silent'


@dataclass(frozen=True, slots=True)
class Evidence:
    """
    What the witnesses say of a member.

    ``heartbeat_age`` is in seconds by the observer's monotonic clock.
    ``is_leased`` is whether the directory in the store names it, and ``None``
    where the directory is not known. ``is_isolated`` says that the observer
    hears nobody at all, so that the silence may be its own fault.
    """

    heartbeat_age: float
    announced_leaving: bool = False
    is_leased: bool | None = None
    vm_state: VmState | None = None
    is_isolated: bool = False


_STATES: Mapping[tuple[Sign, bool | None, bool], MemberState] = (
    MappingProxyType(
        {
            (Sign.FRESH, True, False): MemberState.LIVE,
            (Sign.FRESH, False, False): MemberState.LIVE,
            (Sign.FRESH, None, False): MemberState.LIVE,
            (Sign.FRESH, True, True): MemberState.LIVE,
            (Sign.FRESH, False, True): MemberState.LIVE,
            (Sign.FRESH, None, True): MemberState.LIVE,
            (Sign.LATE, True, False): MemberState.SUSPECT,
            (Sign.LATE, False, False): MemberState.SUSPECT,
            (Sign.LATE, None, False): MemberState.SUSPECT,
            (Sign.LATE, True, True): MemberState.LIVE,
            (Sign.LATE, False, True): MemberState.SUSPECT,
            (Sign.LATE, None, True): MemberState.LIVE,
            (Sign.SILENT, True, False): MemberState.DEAD,
            (Sign.SILENT, False, False): MemberState.DEAD,
            (Sign.SILENT, None, False): MemberState.DEAD,
            (Sign.SILENT, True, True): MemberState.LIVE,
            (Sign.SILENT, False, True): MemberState.SUSPECT,
            (Sign.SILENT, None, True): MemberState.SUSPECT,
        }
    )
)


def classify_member(evidence: Evidence) -> MemberState:
    """
    Return what a member is taken for.

    Any one source that says *leaving* is believed, since a wrong one costs a
    share of the capacity and a missed one costs requests.

    >>> classify_member(Evidence(0.5))
    <MemberState.LIVE: 'live'>
    >>> classify_member(Evidence(0.5, vm_state=VmState.LEAVING))
    <MemberState.LEAVING: 'leaving'>
    """
    sign = sign_of(evidence.heartbeat_age)
    state = _STATES[sign, evidence.is_leased, evidence.is_isolated]
    if state is MemberState.DEAD:
        return state
    if evidence.announced_leaving or evidence.vm_state is VmState.LEAVING:
        return MemberState.LEAVING
    return state


def sign_of(heartbeat_age: float) -> Sign:
    """Return how old a heartbeat of this age in seconds counts as."""
    if heartbeat_age < SUSPECT_AFTER_SECONDS:
        return Sign.FRESH
    if heartbeat_age < DEAD_AFTER_SECONDS:
        return Sign.LATE
    return Sign.SILENT
