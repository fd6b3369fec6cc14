"""
Starts and stops the control plane of an entry.

At startup the entry asks its peers for their revision before it follows the
store, so that a store that has lost revisions cannot give a new entry an older
revision.
"""

__all__ = ('ControlPlaneComponent',)

import asyncio
import contextlib
from collections.abc import Coroutine

from zinniaturn.configuration import StoreWatcher
from zinniaturn.entry.control_plane import ControlPlane
from zinniaturn.entry.state import EntryState
from zinniaturn.events import LogEvent, log_event
from zinniaturn.membership import LeaseKeeper, MemberTable, VmListPoller
from zinniaturn.membership.domain import Address, Heartbeat, Member
from zinniaturn.membership.exceptions import MembershipError
from zinniaturn.membership.reporter import LEASE_TTL_SECONDS, Reporter
from zinniaturn.peers import (
    PeerClient,
    PeerGossip,
    PeerSecurity,
    PeerServer,
)
from zinniaturn.store import ConfigurationStore, StoreError
from zinniaturn.vmlist import HttpVmList

_FIRST_READ_TIMEOUT_SECONDS = 2.0
_MILLISECONDS_PER_SECOND = 1000


class ControlPlaneComponent:
    """Runs the gossip between entries, the membership and the store watcher."""

    def __init__(
        self,
        state: EntryState,
        store: ConfigurationStore,
        security: PeerSecurity,
    ) -> None:
        self.state = state
        self.store = store
        self.security = security
        self.tasks: list[asyncio.Task[None]] = []
        self.control = self._build()
        self.server = PeerServer(
            state.installed,
            self.control.gossip.handle_bulletin,
            security,
        )
        state.control = self.control

    async def start(self) -> None:
        """Listen for peers, ask them for their state, then follow the store."""
        settings = self.state.settings
        port = await self.server.start(
            Address(settings.peer_host, settings.peer_port),
        )
        self.control.table.me = self._me(port)
        log_event(LogEvent.PEERS_LISTEN, port=port)
        with contextlib.suppress(StoreError, MembershipError, TimeoutError):
            async with asyncio.timeout(_FIRST_READ_TIMEOUT_SECONDS):
                await self.control.reporter.refresh_members()
        await self.control.gossip.bootstrap()
        self._run(self.control.gossip.run())
        self._run(self.control.reporter.run())
        self._run(self.control.watcher.run())
        if self.control.vms is not None:
            self._run(self.control.vms.run())

    async def stop(self) -> None:
        """End the tasks, announce the shutdown and release the lease."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.control.gossip.stop()
        await self.control.reporter.stop()
        if self.control.vms is not None:
            await self.control.vms.vm_list.close()
        await self.server.stop()

    def _run(self, coroutine: Coroutine[None, None, None]) -> None:
        self.tasks.append(asyncio.create_task(coroutine))

    def _build(self) -> ControlPlane:
        state = self.state
        settings = state.settings
        table = MemberTable(self._me(settings.peer_port), state.clock)
        gossip = PeerGossip(
            client=PeerClient(self.security),
            installed=state.installed,
            table=table,
            clock=state.clock,
            random_source=state.random_source,
            seeds=settings.peer_seeds(),
            is_leaving=state.lifecycle.is_stopping,
        )
        watcher = StoreWatcher(
            self.store,
            state.installed,
            state.random_source,
            settings.name,
            state.clock,
        )
        control = ControlPlane(
            clock=state.clock,
            table=table,
            gossip=gossip,
            watcher=watcher,
            reporter=self._reporter(table),
            vms=self._vm_list_poller(table),
        )
        gossip.confirmed_age = control.confirmed_age
        watcher.should_watch = control.watches_store
        return control

    def _reporter(self, table: MemberTable) -> Reporter:
        lease_keeper = LeaseKeeper(
            self.store,
            self.state.settings.name,
            LEASE_TTL_SECONDS,
            self.state.clock,
        )
        return Reporter(
            self.store, table, lease_keeper, self.state.random_source
        )

    def _vm_list_poller(self, table: MemberTable) -> VmListPoller | None:
        url = self.state.settings.vm_list_url
        if not url:
            return None
        return VmListPoller(HttpVmList(url), self.state.random_source, table)

    def _me(self, peer_port: int) -> Member:
        settings = self.state.settings
        return Member(
            name=settings.name,
            callers=Address(settings.host, self.state.port),
            peers=Address(settings.peer_host, peer_port),
            admin=Address(settings.admin_host, self.state.admin_port),
            data_center=settings.data_center,
            vm=settings.vm or settings.name,
            heartbeat=Heartbeat(
                int(self.state.clock.wall() * _MILLISECONDS_PER_SECOND)
            ),
        )
