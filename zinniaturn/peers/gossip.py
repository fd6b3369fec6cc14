"""
Gossip with peers.

Each round exchanges bulletins with a few random peers. If one side has a newer
revision, the other fetches its head and the segments that it lacks.
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

ROUND_INTERVAL_SECONDS = 1.5
ROUND_FANOUT = 2
PUSH_FANOUT = 3
MAX_HEARTBEATS = 24
MAX_RECENTLY_ADDED = 6

_MAX_TASKS = 64
_MAX_CONCURRENT_FETCHES = 3

NoteProvider = Callable[[], bytes]
NoteReceiver = Callable[[str, bytes], None]


def _never_confirmed() -> None:
    """Return ``None``, the age if the store has confirmed no revision."""


def _make_fetch_limit() -> asyncio.Semaphore:
    return asyncio.Semaphore(_MAX_CONCURRENT_FETCHES)


@dataclass
class PeerGossip:
    """
    Exchanges bulletins with peers and installs newer revisions from them.

    ``note_providers`` return the payloads of other components' notes by topic;
    ``note_receivers`` receive them with the sender's name. ``confirmed_age``
    returns how many seconds ago the store confirmed the revision in force.
    """

    client: PeerClient
    installed: InstalledTables
    table: MemberTable
    clock: Clock
    random_source: random.Random
    seeds: tuple[Address, ...] = ()
    confirmed_age: Callable[[], float | None] = _never_confirmed
    note_providers: dict[str, NoteProvider] = field(default_factory=dict)
    note_receivers: dict[str, NoteReceiver] = field(default_factory=dict)
    is_leaving: Callable[[], bool] = bool
    is_stopping: bool = False
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    confirmed_at: float | None = None
    reported_forks: set[ChainPosition] = field(default_factory=set)
    fetch_limit: asyncio.Semaphore = field(default_factory=_make_fetch_limit)

    def __post_init__(self) -> None:
        """Register for new snapshots, to announce them to peers."""
        self.installed.snapshot_observers.append(self._announce_snapshot)

    async def run(self) -> None:
        """Run gossip rounds; never returns."""
        while True:
            await self.run_round()
            pause = ROUND_INTERVAL_SECONDS * (
                0.75 + self.random_source.random() / 2
            )
            await asyncio.sleep(pause)

    async def run_round(self) -> None:
        """Advance this entry's heartbeat and gossip with a few peers."""
        self._advance_heartbeat()
        self.table.remove_silent()
        addresses = self._choose_addresses(ROUND_FANOUT)
        await asyncio.gather(
            *(self._exchange_with(address) for address in addresses)
        )

    async def bootstrap(self) -> None:
        """
        Exchange bulletins with all seeds and some members at startup.

        Return after newer revisions have been fetched from them.
        """
        self._advance_heartbeat()
        known = self._choose_addresses(PUSH_FANOUT * 2)
        addresses = dict.fromkeys([*self.seeds, *known])
        await asyncio.gather(
            *(self._exchange_with(address) for address in addresses)
        )

    async def stop(self) -> None:
        """Announce the shutdown to some peers, then close all connections."""
        self.is_stopping = True
        await self.run_round()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.client.close()

    def handle_bulletin(self, bulletin: Bulletin) -> Bulletin:
        """Process a peer's bulletin and return the reply."""
        self._apply(bulletin)
        if is_behind(self.installed.head, bulletin.position):
            self._start_task(
                self._fetch(bulletin.sender.peers, bulletin.position),
            )
        return self._make_bulletin(is_full=bulletin.wants_members)

    def gossip_now(self) -> None:
        """Exchange bulletins with some peers now, such as before stopping."""
        self._advance_heartbeat()
        for address in self._choose_addresses(PUSH_FANOUT):
            self._start_task(self._exchange_with(address))

    def _announce_snapshot(self, snapshot: Snapshot) -> None:
        for address in self._choose_addresses(PUSH_FANOUT):
            self._start_task(self._exchange_with(address))

    def _choose_addresses(self, count: int) -> list[Address]:
        members = choose_targets(
            self.table.reachable(),
            self.table.me.data_center,
            count,
            self.random_source,
        )
        addresses = [member.peers for member in members]
        missing = count - len(addresses)
        seeds = [seed for seed in self.seeds if seed != self.table.me.peers]
        extra_seeds = self.random_source.sample(
            seeds, min(len(seeds), max(missing, 0))
        )
        return list(dict.fromkeys([*addresses, *extra_seeds]))

    async def _exchange_with(self, address: Address) -> None:
        wants_members = not self.table.known
        try:
            reply = await self.client.exchange(
                address,
                self._make_bulletin(is_full=False, wants_members=wants_members),
            )
        except PeerError:
            return
        self._apply(reply)
        if is_behind(self.installed.head, reply.position):
            await self._fetch(address, reply.position)

    def _apply(self, bulletin: Bulletin) -> None:
        self.table.update_member(bulletin.sender)
        for member in bulletin.members:
            self.table.update_member(member)
        for named in bulletin.heartbeats:
            self.table.update_heartbeat(named.name, named.heartbeat)
        self._check_position(bulletin)
        for note in bulletin.notes:
            receiver = self.note_receivers.get(note.topic)
            if receiver is not None:
                receiver(bulletin.sender.name, note.payload)

    def _check_position(self, bulletin: Bulletin) -> None:
        installed_head = self.installed.head
        position = bulletin.position
        if position.revision == installed_head.revision:
            if position.chain != installed_head.chain:
                self._report_fork(position, bulletin.sender.peers)
        age = bulletin.confirmed_age
        if age is None or bulletin.position != self.installed.head.position:
            return
        confirmed_at = self.clock.monotonic() - age
        self.confirmed_at = max(self.confirmed_at or 0, confirmed_at)

    def _make_bulletin(
        self,
        is_full: bool,
        wants_members: bool = False,
    ) -> Bulletin:
        reachable = self.table.reachable()
        heard = self.table.select_recently_heard(
            reachable, MAX_HEARTBEATS, self.random_source
        )
        members = reachable if is_full else self._recently_added(reachable)
        return Bulletin(
            sender=self.table.me,
            position=self.installed.head.position,
            confirmed_age=self.confirmed_age(),
            heartbeats=tuple(
                NamedHeartbeat(member.name, member.heartbeat)
                for member in heard
            ),
            members=tuple(members),
            notes=tuple(
                Note(topic, provide())
                for topic, provide in self.note_providers.items()
            ),
            wants_members=wants_members,
        )

    def _recently_added(self, reachable: list[Member]) -> list[Member]:
        return self.table.select_recently_added(
            reachable, MAX_RECENTLY_ADDED, self.random_source
        )

    def _advance_heartbeat(self) -> None:
        self.table.increment_heartbeat(self.is_stopping or self.is_leaving())

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        if self.is_stopping or len(self.tasks) >= _MAX_TASKS:
            coroutine.close()
            return
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _fetch(self, address: Address, position: ChainPosition) -> None:
        async with self.fetch_limit:
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
        segment_texts = await self.client.read_segments(
            address,
            [ref.digest for ref in missing.values()],
        )
        self.installed.install_head(head, segment_texts)

    def _report_fork(self, position: ChainPosition, address: Address) -> None:
        if position in self.reported_forks:
            return
        self.reported_forks.add(position)
        log_event(
            LogEvent.REVISION_FORKED,
            peer=str(address),
            offered=position.revision,
            in_force=self.installed.head.revision,
        )
