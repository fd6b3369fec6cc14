"""
The exchange of bulletins with peers.

Each round tells a few peers where this entry stands. A higher position on
either side makes the one behind ask for the head and the segments it lacks.
"""

__all__ = ('PeerGossip',)

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.configuration import HeadComparison, InstalledTables, Snapshot
from zinniaturn.configuration.exceptions import StoredStateError
from zinniaturn.configuration.head import ChainPosition
from zinniaturn.configuration.snapshot import missing_segments
from zinniaturn.events import LogEvent, log_event
from zinniaturn.membership.domain import Address, Member
from zinniaturn.membership.table import MemberTable
from zinniaturn.peers.bulletin import Bulletin, NamedHeartbeat, Note
from zinniaturn.peers.client import PeerClient
from zinniaturn.peers.dissemination import choose_targets, is_behind
from zinniaturn.peers.exceptions import PeerError

ROUND_SECONDS = 1.5
ROUND_TARGETS = 2
PUSH_TARGETS = 3
MAX_HEARTBEATS = 24
NEWS = 6

_TASKS = 64
_FETCHES = 3

Provider = Callable[[], bytes]
Receiver = Callable[[str, bytes], None]


def _never() -> None:
    """Return no age: the store has confirmed nothing."""


def _fetch_limit() -> asyncio.Semaphore:
    return asyncio.Semaphore(_FETCHES)


@dataclass
class PeerGossip:
    """
    Talks to peers for ever.

    ``providers`` fill notes of other subsystems by topic and ``receivers``
    get them with the sender's name. ``confirmed_age`` says how many seconds
    ago the store confirmed the revision in force.
    """

    client: PeerClient
    installed: InstalledTables
    table: MemberTable
    clock: Clock
    random_source: random.Random
    seeds: tuple[Address, ...] = ()
    confirmed_age: Callable[[], float | None] = _never
    note_providers: dict[str, Provider] = field(default_factory=dict)
    note_receivers: dict[str, Receiver] = field(default_factory=dict)
    is_leaving: Callable[[], bool] = bool
    is_stopping: bool = False
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    confirmed_at: float | None = None
    forks: set[ChainPosition] = field(default_factory=set)
    fetching: asyncio.Semaphore = field(default_factory=_fetch_limit)

    def __post_init__(self) -> None:
        """Push whatever comes into force."""
        self.installed.snapshot_observers.append(self._push)

    async def run(self) -> None:
        """Talk for ever."""
        while True:
            await self.run_round()
            pause = ROUND_SECONDS * (0.75 + self.random_source.random() / 2)
            await asyncio.sleep(pause)

    async def run_round(self) -> None:
        """Beat once and tell a few peers."""
        self._beat()
        self.table.remove_silent()
        addresses = self._targets(ROUND_TARGETS)
        await asyncio.gather(*(self._tell(address) for address in addresses))

    async def bootstrap(self) -> None:
        """Ask every seed and some known members, and take what they have."""
        self._beat()
        known = self._targets(PUSH_TARGETS * 2)
        addresses = dict.fromkeys([*self.seeds, *known])
        await asyncio.gather(*(self._tell(address) for address in addresses))

    async def stop(self) -> None:
        """Tell some peers about leaving, then close."""
        self.is_stopping = True
        await self.run_round()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.client.close()

    def handle_bulletin(self, bulletin: Bulletin) -> Bulletin:
        """Take a peer's bulletin in and return the reply."""
        self._take(bulletin)
        if is_behind(self.installed.head, bulletin.position):
            self._start(
                self._fetch(bulletin.sender.peers, bulletin.position),
            )
        return self._bulletin(is_full=bulletin.wants_members)

    def gossip_now(self) -> None:
        """Tell some peers at once, such as about leaving."""
        self._beat()
        for address in self._targets(PUSH_TARGETS):
            self._start(self._tell(address))

    def _push(self, snapshot: Snapshot) -> None:
        for address in self._targets(PUSH_TARGETS):
            self._start(self._tell(address))

    def _targets(self, count: int) -> list[Address]:
        members = choose_targets(
            self.table.reachable(),
            self.table.me.data_center,
            count,
            self.random_source,
        )
        addresses = [member.peers for member in members]
        missing = count - len(addresses)
        seeds = [seed for seed in self.seeds if seed != self.table.me.peers]
        spare = self.random_source.sample(
            seeds, min(len(seeds), max(missing, 0))
        )
        return list(dict.fromkeys([*addresses, *spare]))

    async def _tell(self, address: Address) -> None:
        wants_members = not self.table.known
        try:
            reply = await self.client.exchange(
                address,
                self._bulletin(is_full=False, wants_members=wants_members),
            )
        except PeerError:
            return
        self._take(reply)
        if is_behind(self.installed.head, reply.position):
            await self._fetch(address, reply.position)

    def _take(self, bulletin: Bulletin) -> None:
        self.table.update_member(bulletin.sender)
        for member in bulletin.members:
            self.table.update_member(member)
        for beat in bulletin.beats:
            self.table.update_heartbeat(beat.name, beat.heartbeat)
        self._confirm(bulletin)
        for note in bulletin.notes:
            receiver = self.note_receivers.get(note.topic)
            if receiver is not None:
                receiver(bulletin.sender.name, note.payload)

    def _confirm(self, bulletin: Bulletin) -> None:
        held = self.installed.head
        position = bulletin.position
        if position.revision == held.revision:
            if position.chain != held.chain:
                self._report_fork(position, bulletin.sender.peers)
        age = bulletin.confirmed_age
        if age is None or bulletin.position != self.installed.head.position:
            return
        confirmed_at = self.clock.monotonic() - age
        self.confirmed_at = max(self.confirmed_at or 0, confirmed_at)

    def _bulletin(
        self,
        is_full: bool,
        wants_members: bool = False,
    ) -> Bulletin:
        reachable = self.table.reachable()
        beats = self.table.select_recently_heard(
            reachable, MAX_HEARTBEATS, self.random_source
        )
        members = reachable if is_full else self._news(reachable)
        return Bulletin(
            sender=self.table.me,
            position=self.installed.head.position,
            confirmed_age=self.confirmed_age(),
            beats=tuple(
                NamedHeartbeat(one.name, one.heartbeat) for one in beats
            ),
            members=tuple(members),
            notes=tuple(
                Note(topic, provide())
                for topic, provide in self.note_providers.items()
            ),
            wants_members=wants_members,
        )

    def _news(self, reachable: list[Member]) -> list[Member]:
        return self.table.select_recently_added(
            reachable, NEWS, self.random_source
        )

    def _beat(self) -> None:
        self.table.increment_heartbeat(self.is_stopping or self.is_leaving())

    def _start(self, work: Coroutine[None, None, None]) -> None:
        if self.is_stopping or len(self.tasks) >= _TASKS:
            work.close()
            return
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _fetch(self, address: Address, position: ChainPosition) -> None:
        async with self.fetching:
            if not is_behind(self.installed.head, position):
                return
            try:
                await self._install_from(address)
            except StoredStateError as error:
                log_event(LogEvent.PEER_REFUSED, reason=str(error))
            except PeerError:
                return

    async def _install_from(self, address: Address) -> None:
        head = await self.client.read_head(address)
        comparison = self.installed.compare(head)
        if comparison is HeadComparison.FORKED:
            self._report_fork(head.position, address)
        if comparison is not HeadComparison.INSTALL:
            return
        missing = missing_segments(head, self.installed.snapshot)
        found = await self.client.read_segments(
            address,
            [ref.digest for ref in missing.values()],
        )
        self.installed.install_head(head, found)

    def _report_fork(self, position: ChainPosition, address: Address) -> None:
        if position in self.forks:
            return
        self.forks.add(position)
        log_event(
            LogEvent.REVISION_FORKED,
            peer=str(address),
            offered=position.revision,
            in_force=self.installed.head.revision,
        )
