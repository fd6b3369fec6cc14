"""
The table of members that one entry knows.

It holds all members of the entry's own data centre and a few contacts in each
other one, so that an entry's state and messages do not grow with the number of
regions.
"""

__all__ = ('CONTACTS_PER_DATA_CENTER', 'KnownMember', 'MemberTable')

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from zinniaturn.clock import Clock
from zinniaturn.membership.domain import Heartbeat, Member
from zinniaturn.membership.failure_detector import (
    DEAD_AFTER_SECONDS,
    Evidence,
    MemberState,
    classify_member,
)
from zinniaturn.membership.ranking import is_selected
from zinniaturn.vmlist import VmState

CONTACTS_PER_DATA_CENTER = 8
REMOVE_AFTER_SECONDS = 120.0
MAX_MEMBERS = 4096
RECENTLY_ADDED_SECONDS = 10.0

_CONTACT_ROLE = 'contact'


@dataclass(slots=True)
class KnownMember:
    """
    A member with the times of its addition and its last heartbeat.

    Both are in monotonic seconds. A member starts with the time of its addition
    as that of its last heartbeat. A new incarnation counts as an addition.
    """

    member: Member
    added_at: float
    last_heartbeat_at: float


@dataclass
class MemberTable:
    """
    The other entries that this entry knows; ``me`` is this entry itself.

    ``leased_names`` are the members listed by the lease directories, or
    ``None`` before the first read. ``vm_states`` are the VMs in the VM list.
    """

    me: Member
    clock: Clock
    known: dict[str, KnownMember] = field(default_factory=dict)
    leased_names: frozenset[str] | None = None
    vm_states: Mapping[str, VmState] = field(default_factory=dict)

    def increment_heartbeat(self, leaving: bool) -> None:
        """Advance this entry's own heartbeat by one."""
        old = self.me.heartbeat
        self.me = replace(
            self.me,
            heartbeat=Heartbeat(
                old.incarnation,
                old.leaving or leaving,
                old.count + 1,
            ),
        )

    def update_member(self, member: Member) -> bool:
        """
        Add or update a member; return whether it was added.

        A record with this entry's own name and a later incarnation raises this
        entry's incarnation above it. Otherwise an entry that starts with a wall
        clock that was set back would be ignored by the others.
        """
        if member.name == self.me.name:
            self._raise_incarnation_above(member.heartbeat)
            return False
        now = self.clock.monotonic()
        known = self.known.get(member.name)
        if known is None:
            if not self._has_room(member):
                return False
            self.known[member.name] = KnownMember(member, now, now)
            return True
        if member.heartbeat > known.member.heartbeat:
            if (
                member.heartbeat.incarnation
                > known.member.heartbeat.incarnation
            ):
                known.added_at = now
            known.member = member
            known.last_heartbeat_at = now
        return False

    def update_heartbeat(self, name: str, heartbeat: Heartbeat) -> None:
        """Update a member's heartbeat from another entry's gossip."""
        if name == self.me.name:
            self._raise_incarnation_above(heartbeat)
            return
        known = self.known.get(name)
        if known is None:
            return
        current = known.member.heartbeat
        if heartbeat.incarnation == current.incarnation:
            if heartbeat > current:
                known.member = replace(known.member, heartbeat=heartbeat)
                known.last_heartbeat_at = self.clock.monotonic()

    def remove_silent(self) -> None:
        """Remove members without a heartbeat for `REMOVE_AFTER_SECONDS`."""
        now = self.clock.monotonic()
        for name, known in list(self.known.items()):
            if now - known.last_heartbeat_at > REMOVE_AFTER_SECONDS:
                self.known.pop(name)

    def is_isolated(self) -> bool:
        """Return whether members are known but none sent a heartbeat lately."""
        now = self.clock.monotonic()
        ages = [now - known.last_heartbeat_at for known in self.known.values()]
        return bool(ages) and min(ages) >= DEAD_AFTER_SECONDS

    def state_of(self, name: str) -> MemberState:
        """Return the state of a known member."""
        known = self.known[name]
        is_isolated = self.is_isolated()
        return classify_member(self._evidence(known, is_isolated))

    def evidence_of(self, name: str) -> Evidence:
        """Return the evidence for the state of a known member."""
        return self._evidence(self.known[name], self.is_isolated())

    def states(self) -> Mapping[str, MemberState]:
        """Return the state of every known member by name."""
        is_isolated = self.is_isolated()
        return {
            name: classify_member(self._evidence(known, is_isolated))
            for name, known in self.known.items()
        }

    def members_in(self, *states: MemberState) -> list[Member]:
        """Return the members in one of these states, sorted by name."""
        wanted = frozenset(states)
        states_by_name = self.states()
        return [
            self.known[name].member
            for name in sorted(states_by_name)
            if states_by_name[name] in wanted
        ]

    def reachable(self) -> list[Member]:
        """Return the members to gossip with: all that are not dead."""
        return self.members_in(
            MemberState.LIVE,
            MemberState.LEAVING,
            MemberState.SUSPECT,
        )

    def select_recently_heard(
        self,
        members: Sequence[Member],
        count: int,
        random_source: random.Random,
    ) -> list[Member]:
        """
        Return up to ``count`` members whose heartbeats to pass on.

        Half of them have the most recent heartbeats; the others are random.
        """
        by_recency = sorted(
            members,
            key=lambda member: -self.known[member.name].last_heartbeat_at,
        )
        latest = by_recency[: count // 2]
        rest = by_recency[count // 2 :]
        return latest + random_source.sample(
            rest, min(len(rest), count - len(latest))
        )

    def select_recently_added(
        self,
        members: Sequence[Member],
        count: int,
        random_source: random.Random,
    ) -> list[Member]:
        """Return up to ``count`` recently added members and a random one."""
        now = self.clock.monotonic()
        recent = [
            member
            for member in members
            if now - self.known[member.name].added_at < RECENTLY_ADDED_SECONDS
        ]
        selected = random_source.sample(recent, min(len(recent), count))
        if members:
            selected.append(random_source.choice(members))
        return selected

    def _evidence(self, known: KnownMember, is_isolated: bool) -> Evidence:
        member = known.member
        return Evidence(
            heartbeat_age=self.clock.monotonic() - known.last_heartbeat_at,
            announced_leaving=member.heartbeat.leaving,
            is_leased=None
            if self.leased_names is None
            else self._is_leased(member),
            vm_state=self.vm_states.get(member.vm or member.name),
            is_isolated=is_isolated,
        )

    def _is_leased(self, member: Member) -> bool:
        return (
            self.leased_names is not None and member.name in self.leased_names
        )

    def _raise_incarnation_above(self, heartbeat: Heartbeat) -> None:
        own_heartbeat = self.me.heartbeat
        if heartbeat.incarnation <= own_heartbeat.incarnation:
            return
        self.me = replace(
            self.me,
            heartbeat=replace(
                own_heartbeat, incarnation=heartbeat.incarnation + 1
            ),
        )

    def _has_room(self, member: Member) -> bool:
        if len(self.known) >= MAX_MEMBERS:
            return False
        if member.data_center == self.me.data_center:
            return True
        return is_selected(
            _CONTACT_ROLE,
            member.name,
            self._names_in(member.data_center),
            CONTACTS_PER_DATA_CENTER,
        )

    def _names_in(self, data_center: str) -> Iterable[str]:
        return [
            name
            for name, known in self.known.items()
            if known.member.data_center == data_center
        ]
