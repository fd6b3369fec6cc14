"""Faults of entries and the store, drawn from the seed of a run."""

__all__ = ('FaultInjector', 'FaultKind')

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
    """The kinds of faults that a run injects."""

    ENTRY_KILLED = 'entry_killed'
    ENTRY_PAUSED = 'entry_paused'
    ENTRY_REPLACED = 'entry_replaced'
    ENTRY_CUT_OFF = 'entry_cut_off'
    STORE_OUT = 'store_out'
    STORE_SLOW = 'store_slow'
    REPLY_LOST = 'reply_lost'
    STORE_RESET = 'store_reset'


STORE_LATENCY_SECONDS = 0.4
FAULT_SECONDS = (1.0, 2.0)
PAUSE_SECONDS = (3.0, 5.0)


@dataclass
class FaultInjector:
    """
    Injects faults one after the other.

    Every kind occurs once per cycle, in an order drawn from the seed.
    ``restore_tables`` is called after a reset of the store.
    """

    fleet: ConfigurationFleet
    history: History
    random_source: random.Random
    restore_tables: Callable[[], Awaitable[None]]

    async def run_cycle(self) -> None:
        """Inject every kind of fault once."""
        kinds = list(FaultKind)
        self.random_source.shuffle(kinds)
        for kind in kinds:
            await self._inject(kind)
            self.history.faults[kind.value] += 1
            await asyncio.sleep(0.2 + self.random_source.random() / 2)

    async def _inject(self, kind: FaultKind) -> None:
        match kind:
            case FaultKind.ENTRY_KILLED | FaultKind.ENTRY_REPLACED:
                await self._kill_entry(
                    is_replaced=kind is FaultKind.ENTRY_REPLACED
                )
            case FaultKind.ENTRY_PAUSED:
                await self._pause_entry()
            case FaultKind.ENTRY_CUT_OFF:
                names = [entry.name for entry in self._choose_entries(4)]
                await self.fleet.set_faults(cut_off=names)
                await self._wait_fault_duration()
                await self.fleet.set_faults(cut_off=[])
            case FaultKind.STORE_OUT:
                await self.fleet.set_faults(is_out=True)
                await self._wait_fault_duration()
                await self.fleet.set_faults(is_out=False)
            case FaultKind.STORE_SLOW:
                await self.fleet.set_faults(
                    latency_seconds=STORE_LATENCY_SECONDS
                )
                await self._wait_fault_duration()
                await self.fleet.set_faults(latency_seconds=0)
            case FaultKind.REPLY_LOST:
                await self.fleet.set_faults(lost_replies=4)
                await self._wait_fault_duration()
                await self.fleet.set_faults(lost_replies=0)
            case FaultKind.STORE_RESET:
                await self._reset_store()

    async def _kill_entry(self, is_replaced: bool) -> None:
        entry = self._choose_entries(1)[0]
        self._end_reachable_interval(entry)
        await self.fleet.kill(entry)
        if is_replaced:
            self.fleet.entries.pop(entry.name)
            number = sum(self.history.faults.values())
            entry = self.fleet.add_entry(f'{entry.name}-new-{number}')
        await self._wait_fault_duration()
        self.history.restarts.append(Interval(entry.name, time.time()))
        await self.fleet.start_entry(entry)
        await self.fleet.wait_ready(entry)
        self._begin_reachable_interval(entry)

    async def _pause_entry(self) -> None:
        entry = self._choose_entries(1)[0]
        self._end_reachable_interval(entry)
        self.fleet.pause(entry)
        await asyncio.sleep(self.random_source.uniform(*PAUSE_SECONDS))
        self.fleet.resume(entry)
        self._begin_reachable_interval(entry)

    async def _reset_store(self) -> None:
        await self.fleet.copy_store()
        await self._wait_fault_duration()
        reset = Interval('', time.time())
        self.history.resets.append(reset)
        await self.fleet.reset_store_to_copy()
        await self._wait_fault_duration()
        await self.restore_tables()
        reset.end = time.time()

    async def _wait_fault_duration(self) -> None:
        await asyncio.sleep(self.random_source.uniform(*FAULT_SECONDS))

    def _choose_entries(self, count: int) -> list[EntryProcess]:
        running = [
            entry for entry in self.fleet.entries.values() if entry.is_running
        ]
        return self.random_source.sample(running, min(count, len(running)))

    def _end_reachable_interval(self, entry: EntryProcess) -> None:
        for interval in self.history.reachable_intervals:
            if interval.entry == entry.name and interval.end > time.time():
                interval.end = time.time()

    def _begin_reachable_interval(self, entry: EntryProcess) -> None:
        self.history.reachable_intervals.append(
            Interval(entry.name, time.time())
        )
