"""How a VM that has just started finds the others and gets its first state."""

__all__ = ('FleetJoiner', 'StartPatience')

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from zinniaturn.fleet.exceptions import FleetStoreError
from zinniaturn.fleet.fleet_state import FleetState
from zinniaturn.fleet.gossip import GossipProtocol
from zinniaturn.fleet.registration import VmRegistration
from zinniaturn.fleet.store import FleetStore
from zinniaturn.fleet.vms import VmTable

_PATIENCE_SECONDS = 0.2
_FIRST_START_PATIENCE_SECONDS = 2.5
_RETRY_SECONDS = 0.05
_FIRST_START_RETRY_SECONDS = 0.5
_CHECK_INTERVAL_SECONDS = 0.01
REGISTRATION_SPREAD_SECONDS = 1.5


@dataclass(slots=True)
class StartPatience:
    """
    How long a VM waits for its first state from others before it reads it.

    A VM whose record is listed doesn't wait, since the others look for their
    first state there, and one that finds an empty list has nobody to wait for.
    When the whole fleet starts for the first time, a few VMs
    register and read, and the others have time to hear of them.

    >>> patience = StartPatience(started_at=10.0, is_first_start=False)
    >>> patience.is_over(10.1), patience.is_over(10.3)
    (False, True)
    >>> patience.end()
    >>> patience.is_over(10.0)
    True
    """

    started_at: float
    is_first_start: bool
    is_ended: bool = False

    def is_over(self, now: float) -> bool:
        """Return whether the VM should read the store itself."""
        seconds = (
            _FIRST_START_PATIENCE_SECONDS
            if self.is_first_start
            else _PATIENCE_SECONDS
        )
        return self.is_ended or now - self.started_at >= seconds

    def end(self) -> None:
        """Stop waiting."""
        self.is_ended = True

    def retry_seconds(self) -> float:
        """Return the pause between attempts to find other VMs."""
        return (
            _FIRST_START_RETRY_SECONDS
            if self.is_first_start
            else _RETRY_SECONDS
        )


@dataclass(slots=True)
class FleetJoiner:
    """
    Looks up the listed VMs and pings some of them until one gives a state.

    The list costs a tenth of a call for the whole state, and pings cost
    nothing, so the start of many VMs at once hardly loads the store. When the
    whole fleet starts for the first time, the list is empty: at
    ``register_at``, which is random, a VM that still finds no other registers
    and stops waiting.
    """

    store: FleetStore
    fleet_state: FleetState
    vms: VmTable
    gossip: GossipProtocol
    registration: VmRegistration
    patience: StartPatience
    register_at: float
    on_failure: Callable[[FleetStoreError], None]

    async def run(self) -> None:
        """Join the fleet; return when a state is held or patience is over."""
        clock = self.fleet_state.clock
        while not self._is_done():
            started_at = clock.monotonic()
            await self._join_once(started_at)
            retry_at = started_at + self.patience.retry_seconds()
            if started_at < self.register_at:
                retry_at = min(retry_at, self.register_at)
            while not self._is_done() and clock.monotonic() < retry_at:
                await asyncio.sleep(_CHECK_INTERVAL_SECONDS)

    def _is_done(self) -> bool:
        has_state = self.fleet_state.document is not None
        return has_state or self.patience.is_over(
            self.fleet_state.clock.monotonic()
        )

    async def _join_once(self, now: float) -> None:
        """Look up the list unless it is known, and ping some of its VMs."""
        if not self.vms.vms:
            await self._look_up_list()
        if self.vms.vms:
            self.gossip.join()
        elif self.patience.is_first_start and now >= self.register_at:
            self.registration.register()
            self.patience.end()

    async def _look_up_list(self) -> None:
        try:
            listed = await self.store.list_vms()
        except FleetStoreError as error:
            self.on_failure(error)
            return
        self.vms.update_records([stored.record for stored in listed])
        is_alone = not (self.vms.vms or self.patience.is_first_start)
        if is_alone or self.vms.own.name in self.vms.listed:
            self.patience.end()
