"""
Exhaustive interleaving of coroutines that share a store.

A run is a sequence of choices; the next run takes the next sequence, until all
were taken. The coroutines are the product's own; only the store decides when a
call on the head takes place and whether its reply arrives.

References: P. Godefroid, "Model checking for programming languages using
VeriSoft", POPL 1997.
"""

import asyncio
from functools import partial

from zinniaturn.configuration.layout import HEAD_KEY
from zinniaturn.store import (
    StoreConflictError,
    StoreUnavailableError,
    VersionedValue,
)

_MAX_SPINS = 1000


class Choices:
    """One sequence of choices; `advance` moves to the next one."""

    def __init__(self):
        self.path = []
        self.position = 0

    def choose(self, count):
        """Return the choice of this run among ``count``."""
        if self.position == len(self.path):
            self.path.append([0, count])
        index = self.path[self.position][0]
        self.position += 1
        return index

    def advance(self):
        """Go to the next sequence; return whether there is one."""
        self.position = 0
        while self.path:
            self.path[-1][0] += 1
            if self.path[-1][0] < self.path[-1][1]:
                return True
            self.path.pop()
        return False


class SharedState:
    """The store's values, and swaps that are still on their way."""

    def __init__(self):
        self.values = {}
        self.version = 0
        self.late = []

    def swap(self, key, expected, text):
        """Write where the version is as expected."""
        if self.values.get(key, VersionedValue()).version != expected:
            raise StoreConflictError(key)
        self.version += 1
        self.values[key] = VersionedValue(text, self.version)
        return self.version


class Turn:
    """A call on the head that waits for its turn."""

    def __init__(self, name, is_swap):
        self.name = name
        self.is_swap = is_swap
        self.future = asyncio.get_running_loop().create_future()


class SteppedStore:
    """The store's port as one process sees it."""

    def __init__(self, name, shared, turns):
        self.name = name
        self.shared = shared
        self.turns = turns

    async def read(self, key):
        """Return the key's entry at this process's turn."""
        if key == HEAD_KEY:
            await self._wait(is_swap=False)
        return self.shared.values.get(key, VersionedValue())

    async def watch(self, key, after_version, wait_seconds):
        """Return the key's entry at this process's turn."""
        return await self.read(key)

    async def compare_and_swap(self, key, expected_version, value, lease_id=''):
        """Write at this process's turn, which may have a fault."""
        if key != HEAD_KEY:
            return self.shared.swap(key, expected_version, value)
        fault = await self._wait(is_swap=True)
        if fault == 'late':
            self.shared.late.append((key, expected_version, value))
            raise StoreUnavailableError('no reply')
        version = self.shared.swap(key, expected_version, value)
        if fault == 'lost':
            raise StoreUnavailableError('the reply was lost')
        return version

    async def delete(self, key, expected_version):
        """Remove the key."""
        if (
            self.shared.values.get(key, VersionedValue()).version
            != expected_version
        ):
            raise StoreConflictError(key)
        self.shared.values.pop(key, None)

    async def take_turn(self):
        """Wait for a turn without a call."""
        await self._wait(is_swap=False)

    async def _wait(self, is_swap):
        turn = Turn(self.name, is_swap)
        self.turns[self.name] = turn
        return await turn.future


class Interleaving:
    """One run of named coroutines in the order that the choices say."""

    def __init__(self, choices, faults, check):
        self.choices = choices
        self.faults = faults
        self.check = check
        self.shared = SharedState()
        self.turns = {}

    def store(self, name):
        """Return the store as the process ``name`` sees it."""
        return SteppedStore(name, self.shared, self.turns)

    async def run(self, processes):
        """Run to the end; late swaps arrive at any moment, or at the end."""
        tasks = {
            name: asyncio.create_task(work) for name, work in processes.items()
        }
        while True:
            await self._spin(tasks)
            options = self._options()
            if not options:
                break
            options[self.choices.choose(len(options))]()
            self.check()
        for task in tasks.values():
            await task
        self.check()

    async def _spin(self, tasks):
        for _ in range(_MAX_SPINS):
            alive = {name for name, task in tasks.items() if not task.done()}
            if alive <= self.turns.keys():
                return
            await asyncio.sleep(0)
        raise AssertionError('a process neither ends nor asks the store')

    def _options(self):
        options = []
        for name in sorted(self.turns):
            options.append(partial(self._grant, name, ''))
            if self.faults and self.turns[name].is_swap:
                options.append(partial(self._grant, name, 'lost'))
                options.append(partial(self._grant, name, 'late'))
        options.extend(
            partial(self._arrive, index)
            for index in range(len(self.shared.late))
        )
        return options

    def _grant(self, name, fault):
        self.faults -= bool(fault)
        self.turns.pop(name).future.set_result(fault)

    def _arrive(self, index):
        key, expected, text = self.shared.late.pop(index)
        try:
            self.shared.swap(key, expected, text)
        except StoreConflictError:
            return


def explore(loop, make_run):
    """Run every sequence of choices and return how many there were."""
    choices = Choices()
    runs = 0
    while True:
        loop.run_until_complete(make_run(choices))
        runs += 1
        if not choices.advance():
            return runs
