"""
The account of what a process holds for its clients, and of who gives way.

It covers all listeners of the process and the responses that servers are
sending. When there is no room, the client that holds most and makes least
progress is refused or cut off, until there is. The work for one change doesn't
grow with the number of connections.
"""

__all__ = ('Client', 'ClientAccount', 'Door', 'Place')

import math
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from zinniaturn.http1.byte_budget import ByteBudget
from zinniaturn.http1.client_limits import (
    ClientLimits,
    Place,
    client_bytes,
    client_connections,
)
from zinniaturn.http1.holdings import Holding, Holdings
from zinniaturn.http1.losses import Loss, Losses
from zinniaturn.http1.turns import Turns

# Above this share of the bytes, connections don't read ahead.
_PRESSURE_SHARE = 0.5
_MOST_CUTS = 1000
_SMALL_BYTES = 32 * 1024
_SPARED_EXCESS_SHARE = 0.125


class Client(Protocol):
    """A connection that may be refused or cut off."""

    peer_host: str

    def give_way(self, at_once: bool = False) -> bool:
        """
        Refuse what is received, or close, and release what it holds.

        With ``at_once`` the connection is closed in any case. Return whether a
        request was refused and its refusal is still being sent.
        """


@dataclass(slots=True)
class ClientAccount:
    """
    The bytes and connections of all clients.

    ``clock`` returns the event loop's time. ``losses`` counts the clients that
    gave way or waited, ``peak_bytes`` is the most that was held, and
    ``in_work`` counts the requests that servers may be running. While there
    are ``most_pipelined`` of these, connections don't read ahead.
    """

    budget: ByteBudget
    clock: Callable[[], float]
    max_descriptors: int = 0
    limits: ClientLimits = field(default_factory=ClientLimits)
    doors: 'dict[Place, Door]' = field(default_factory=dict)
    losses: Losses = field(default_factory=Losses)
    peak_bytes: int = 0
    turns: Turns = field(default_factory=Turns)
    in_work: int = 0
    most_pipelined: float = math.inf
    is_making_room: bool = False

    @classmethod
    def build(
        cls,
        clock: Callable[[], float],
        memory_megabytes: float = 0,
        max_descriptors: int = 0,
    ) -> 'ClientAccount':
        """Return the account of a process on a VM with these resources."""
        account = cls(ByteBudget(), clock)
        account.budget.make_room = account.make_room
        account.set_resources(memory_megabytes, max_descriptors)
        return account

    def set_resources(
        self, memory_megabytes: float, max_descriptors: int
    ) -> None:
        """Apply what the VM has by now; who holds more gives way later."""
        self.budget.most = client_bytes(memory_megabytes)
        self.max_descriptors = max_descriptors
        callers = client_connections(max_descriptors, Place.CALLERS)
        self.most_pipelined = callers * self.limits.pipelined_share
        for door in self.doors.values():
            door.most = client_connections(max_descriptors, door.place)

    @property
    def connection_count(self) -> int:
        """Return the number of clients' connections."""
        return sum(door.count for door in self.doors.values())

    @property
    def most_server_connections(self) -> int:
        """Return how many connections to servers and VMs may be open."""
        return client_connections(self.max_descriptors, Place.SERVERS)

    @property
    def may_read_ahead(self) -> bool:
        """Return whether requests behind one in work may be started."""
        is_busy = self.in_work >= self.most_pipelined
        return not (
            is_busy or self.budget.held > self.budget.most * _PRESSURE_SHARE
        )

    def door(self, place: Place) -> 'Door':
        """Return the account of a port's connections."""
        door = self.doors.get(place)
        if door is None:
            most = client_connections(self.max_descriptors, place)
            door = Door(self, place, most)
            self.doors[place] = door
        return door

    def make_room(self, wanted: int = 0) -> None:
        """Let clients give way until so many bytes fit, or none can."""
        if self.is_making_room:
            return
        self.is_making_room = True
        now = self.clock()
        try:
            for _ in range(_MOST_CUTS):
                if self.budget.held + wanted <= self.budget.most:
                    break
                victim = self._first_to_go(now)
                if victim is None:
                    break
                door, client = victim
                door.cut(client)
        finally:
            self.is_making_room = False

    def _first_to_go(self, now: float) -> 'tuple[Door, Client] | None':
        """Return the client of any port that gives way first."""
        # Ordinary callers hold less, and are spared while that may help.
        most_spared = self.budget.most * _SPARED_EXCESS_SHARE
        spares_small = self.budget.excess <= most_spared
        least = _SMALL_BYTES if spares_small else 0
        first = None
        most_weight: float = 0
        for door in self.doors.values():
            holding = door.holdings.first_to_go(now, least)
            if holding is not None and holding.weight(now) > most_weight:
                most_weight = holding.weight(now)
                first = door, holding.owner
        return first


@dataclass(slots=True)
class Door:
    """The connections of one port, of which there are ``most``."""

    account: ClientAccount
    place: Place
    most: int
    count: int = 0
    holdings: Holdings[Client] = field(default_factory=Holdings)

    @classmethod
    def without_limits(cls) -> 'Door':
        """Return the account of a port that nothing is known about."""
        account = ClientAccount(ByteBudget(sys.maxsize), time.monotonic)
        return cls(account, Place.CALLERS, sys.maxsize)

    def enter(self, holding: Holding[Client]) -> bool:
        """
        Count a connection, for which another one may have to give way.

        Return whether it may stay.
        """
        self.count += 1
        holding.is_open = True
        if self.count <= self.most:
            return True
        victim = self.holdings.first_to_go(self.account.clock())
        if victim is None:
            self.note(Loss.TURNED_AWAY, holding.owner)
            return False
        victim.owner.give_way(at_once=True)
        self.note(Loss.CLOSED, victim.owner)
        return True

    def cut(self, client: Client) -> None:
        """Let a client give way, as there is too little memory."""
        is_refused = client.give_way()
        self.account.budget.refused += is_refused
        self.note(Loss.REFUSED if is_refused else Loss.CUT, client)

    def note(self, loss: Loss, client: Client) -> None:
        """Count what became of a client."""
        self.account.losses.note(loss, self.place, client.peer_host)

    def update(
        self,
        holding: Holding[Client],
        held: int,
        may_be_cut: bool,
        moved_bytes: int = 0,
    ) -> None:
        """Count what a connection holds now, and bytes that it has moved."""
        if not holding.is_open:
            return
        account = self.account
        has_progressed = bool(moved_bytes) and holding.note_progress(
            moved_bytes, account.clock()
        )
        change = held - holding.held
        self.holdings.update(holding, held, may_be_cut, has_progressed)
        if change > 0:
            account.budget.hold(change)
            account.peak_bytes = max(account.peak_bytes, account.budget.held)
            if account.budget.excess:
                account.make_room()
        elif change:
            account.budget.give_back(-change)

    def leave(self, holding: Holding[Client]) -> None:
        """Forget a connection that has ended."""
        self.count -= 1
        holding.is_open = False
        held = holding.held
        self.holdings.remove(holding)
        self.account.budget.give_back(held)
