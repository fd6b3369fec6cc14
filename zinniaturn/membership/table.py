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
from zinniaturn.membership.evidence import (
    DEAD_AFTER_SECONDS,
    Evidence,
    MemberState,
    judge_member,
)
from zinniaturn.membership.ranking import is_on_duty
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
    heard_at: float


@dataclass
class MemberTable:
    """What is known of the other entries; ``me`` is not among them."""

    me: Member
    clock: Clock
    known: dict[str, KnownMember] = field(default_factory=dict)
    leased: frozenset[str] | None = None
    listed: Mapping[str, VmState] = field(default_factory=dict)

    def beat(self, leaving: bool) -> None:
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

    def learn(self, member: Member) -> bool:
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
            known.heard_at = now
        return False

    def hear(self, name: str, heartbeat: Heartbeat) -> None:
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
                known.heard_at = self.clock.monotonic()

    def forget(self) -> None:
        """Forget members that have been silent for long."""
        now = self.clock.monotonic()
        for name, known in list(self.known.items()):
            if now - known.heard_at > FORGET_AFTER_SECONDS:
                self.known.pop(name)

    def is_isolated(self) -> bool:
        """Return whether there are others and none of them was heard."""
        now = self.clock.monotonic()
        ages = [now - known.heard_at for known in self.known.values()]
        return bool(ages) and min(ages) >= DEAD_AFTER_SECONDS

    def state_of(self, name: str) -> MemberState:
        """Return what a known member is taken for."""
        known = self.known[name]
        is_isolated = self.is_isolated()
        return judge_member(self._evidence(known, is_isolated))

    def evidence_of(self, name: str) -> Evidence:
        """Return what the witnesses say of a known member."""
        return self._evidence(self.known[name], self.is_isolated())

    def states(self) -> Mapping[str, MemberState]:
        """Return what every known member is taken for."""
        is_isolated = self.is_isolated()
        return {
            name: judge_member(self._evidence(known, is_isolated))
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

    def latest(
        self,
        members: Sequence[Member],
        count: int,
        source: random.Random,
    ) -> list[Member]:
        """Return up to ``count`` members: the latest heard and some others."""
        heard = sorted(
            members,
            key=lambda member: -self.known[member.name].heard_at,
        )
        first = heard[: count // 2]
        rest = heard[count // 2 :]
        return first + source.sample(rest, min(len(rest), count - len(first)))

    def news(
        self,
        members: Sequence[Member],
        count: int,
        source: random.Random,
    ) -> list[Member]:
        """Return recently learnt members, and one of the others."""
        now = self.clock.monotonic()
        recent = [
            member
            for member in members
            if now - self.known[member.name].learnt_at < NEWS_SECONDS
        ]
        picked = source.sample(recent, min(len(recent), count))
        if members:
            picked.append(source.choice(members))
        return picked

    def _evidence(self, known: KnownMember, is_isolated: bool) -> Evidence:
        member = known.member
        return Evidence(
            heartbeat_age=self.clock.monotonic() - known.heard_at,
            says_leaving=member.heartbeat.leaving,
            is_leased=None if self.leased is None else self._is_leased(member),
            listed=self.listed.get(member.vm or member.name),
            is_isolated=is_isolated,
        )

    def _is_leased(self, member: Member) -> bool:
        return self.leased is not None and member.name in self.leased

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
        return is_on_duty(
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
