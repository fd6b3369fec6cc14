"""
The members that one entry knows.

It keeps all members of its own data centre and a few contacts in each other
one, so that its state and its messages do not grow with the number of regions.
"""

__all__ = ('CONTACTS', 'KnownMember', 'MemberTable')

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

CONTACTS = 8
FORGET_AFTER_SECONDS = 120.0
MAX_MEMBERS = 4096
NEWS_SECONDS = 10.0

_CONTACT_DUTY = 'contact'


@dataclass(slots=True)
class KnownMember:
    """
    A member with when it was learnt and last heard of.

    Both are in monotonic seconds. A member that is known from the directory
    alone has not been heard of.
    """

    member: Member
    learnt_at: float
    last_heartbeat_at: float


@dataclass
class MemberTable:
    """What is known of the other entries; ``me`` is not among them."""

    me: Member
    clock: Clock
    known: dict[str, KnownMember] = field(default_factory=dict)
    leased_names: frozenset[str] | None = None
    vm_states: Mapping[str, VmState] = field(default_factory=dict)

    def increment_heartbeat(self, leaving: bool) -> None:
        """Count this entry's own next heartbeat."""
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
        Take in a member's record; return whether it was new.

        A record of this entry's own name from a later incarnation makes this
        one's incarnation later still, so that a wall clock that was set back
        hides no entry.
        """
        if member.name == self.me.name:
            self._outlive(member.heartbeat)
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
                known.learnt_at = now
            known.member = member
            known.last_heartbeat_at = now
        return False

    def update_heartbeat(self, name: str, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat that another entry passed on."""
        if name == self.me.name:
            self._outlive(heartbeat)
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
        """Forget members that have been silent for long."""
        now = self.clock.monotonic()
        for name, known in list(self.known.items()):
            if now - known.last_heartbeat_at > FORGET_AFTER_SECONDS:
                self.known.pop(name)

    def is_isolated(self) -> bool:
        """Return whether there are others and none of them was heard."""
        now = self.clock.monotonic()
        ages = [now - known.last_heartbeat_at for known in self.known.values()]
        return bool(ages) and min(ages) >= DEAD_AFTER_SECONDS

    def state_of(self, name: str) -> MemberState:
        """Return what a known member is taken for."""
        known = self.known[name]
        is_isolated = self.is_isolated()
        return classify_member(self._evidence(known, is_isolated))

    def evidence_of(self, name: str) -> Evidence:
        """Return what the witnesses say of a known member."""
        return self._evidence(self.known[name], self.is_isolated())

    def states(self) -> Mapping[str, MemberState]:
        """Return what every known member is taken for."""
        is_isolated = self.is_isolated()
        return {
            name: classify_member(self._evidence(known, is_isolated))
            for name, known in self.known.items()
        }

    def members_in(self, *states: MemberState) -> list[Member]:
        """Return the members in one of these states, sorted by name."""
        wanted = frozenset(states)
        judged = self.states()
        return [
            self.known[name].member
            for name in sorted(judged)
            if judged[name] in wanted
        ]

    def reachable(self) -> list[Member]:
        """Return the members that are worth talking to."""
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
        """Return up to ``count`` members: the latest heard and some others."""
        heard = sorted(
            members,
            key=lambda member: -self.known[member.name].last_heartbeat_at,
        )
        first = heard[: count // 2]
        rest = heard[count // 2 :]
        return first + random_source.sample(
            rest, min(len(rest), count - len(first))
        )

    def select_recently_added(
        self,
        members: Sequence[Member],
        count: int,
        random_source: random.Random,
    ) -> list[Member]:
        """Return recently learnt members, and one of the others."""
        now = self.clock.monotonic()
        recent = [
            member
            for member in members
            if now - self.known[member.name].learnt_at < NEWS_SECONDS
        ]
        picked = random_source.sample(recent, min(len(recent), count))
        if members:
            picked.append(random_source.choice(members))
        return picked

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

    def _outlive(self, heartbeat: Heartbeat) -> None:
        mine = self.me.heartbeat
        if heartbeat.incarnation <= mine.incarnation:
            return
        self.me = replace(
            self.me,
            heartbeat=replace(mine, incarnation=heartbeat.incarnation + 1),
        )

    def _has_room(self, member: Member) -> bool:
        if len(self.known) >= MAX_MEMBERS:
            return False
        if member.data_center == self.me.data_center:
            return True
        return is_selected(
            _CONTACT_DUTY,
            member.name,
            self._names_in(member.data_center),
            CONTACTS,
        )

    def _names_in(self, data_center: str) -> Iterable[str]:
        return [
            name
            for name, known in self.known.items()
            if known.member.data_center == data_center
        ]
