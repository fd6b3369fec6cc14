"""The faults of a run, drawn from its seed."""

__all__ = ('FaultKind', 'FaultPlan')

import asyncio
import enum
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from zinniaturn.experiments.configuration.fleet import (
    ConfigurationFleet,
    EntryProcess,
)
from zinniaturn.experiments.configuration.history import History, Interval


class FaultKind(enum.Enum):
    """What goes wrong."""

    ENTRY_KILLED = 'entry_killed'
    ENTRY_PAUSED = 'entry_paused'
    ENTRY_REPLACED = 'entry_replaced'
    ENTRY_CUT_OFF = 'entry_cut_off'
    STORE_OUT = 'store_out'
    STORE_SLOW = 'store_slow'
    REPLY_LOST = 'reply_lost'
    STORE_RESET = 'store_reset'


SLOW_SECONDS = 0.4
LASTS_SECONDS = (1.0, 2.0)
PAUSE_SECONDS = (3.0, 5.0)


@dataclass
class FaultPlan:
    """
    Injects faults one after the other until told to stop.

    Every kind comes once a cycle, in an order drawn from the seed. ``heal``
    is called after a reset of the store, to restore the tables.
    """

    fleet: ConfigurationFleet
    history: History
    source: random.Random
    restore: Callable[[], Awaitable[None]]

    async def run_cycle(self) -> None:
        """Inject every kind once."""
        kinds = list(FaultKind)
        self.source.shuffle(kinds)
        for kind in kinds:
            await self._inject(kind)
            self.history.faults[kind.value] += 1
            await asyncio.sleep(0.2 + self.source.random() / 2)

    async def _inject(self, kind: FaultKind) -> None:
        match kind:
            case FaultKind.ENTRY_KILLED | FaultKind.ENTRY_REPLACED:
                await self._kill(is_replaced=kind is FaultKind.ENTRY_REPLACED)
            case FaultKind.ENTRY_PAUSED:
                await self._pause()
            case FaultKind.ENTRY_CUT_OFF:
                names = [entry.name for entry in self._pick(4)]
                await self.fleet.set_faults(cut_off=names)
                await self._last()
                await self.fleet.set_faults(cut_off=[])
            case FaultKind.STORE_OUT:
                await self.fleet.set_faults(is_out=True)
                await self._last()
                await self.fleet.set_faults(is_out=False)
            case FaultKind.STORE_SLOW:
                await self.fleet.set_faults(latency_seconds=SLOW_SECONDS)
                await self._last()
                await self.fleet.set_faults(latency_seconds=0)
            case FaultKind.REPLY_LOST:
                await self.fleet.set_faults(lost_replies=4)
                await self._last()
                await self.fleet.set_faults(lost_replies=0)
            case FaultKind.STORE_RESET:
                await self._reset()

    async def _kill(self, is_replaced: bool) -> None:
        entry = self._pick(1)[0]
        self._close(entry)
        await self.fleet.kill(entry)
        if is_replaced:
            self.fleet.entries.pop(entry.name)
            number = sum(self.history.faults.values())
            entry = self.fleet.add_entry(f'{entry.name}-new-{number}')
        await self._last()
        self.history.starts.append(Interval(entry.name, time.time()))
        await self.fleet.start_entry(entry)
        await self.fleet.wait_ready(entry)
        self._open(entry)

    async def _pause(self) -> None:
        entry = self._pick(1)[0]
        self._close(entry)
        self.fleet.pause(entry)
        await asyncio.sleep(self.source.uniform(*PAUSE_SECONDS))
        self.fleet.resume(entry)
        self._open(entry)

    async def _reset(self) -> None:
        await self.fleet.keep_copy()
        await self._last()
        reset = Interval('', time.time())
        self.history.resets.append(reset)
        await self.fleet.reset_to_copy()
        await self._last()
        await self.restore()
        reset.end = time.time()

    async def _last(self) -> None:
        await asyncio.sleep(self.source.uniform(*LASTS_SECONDS))

    def _pick(self, count: int) -> list[EntryProcess]:
        running = [
            entry for entry in self.fleet.entries.values() if entry.is_running
        ]
        return self.source.sample(running, min(count, len(running)))

    def _close(self, entry: EntryProcess) -> None:
        for interval in self.history.reachable:
            if interval.entry == entry.name and interval.end > time.time():
                interval.end = time.time()

    def _open(self, entry: EntryProcess) -> None:
        self.history.reachable.append(Interval(entry.name, time.time()))
