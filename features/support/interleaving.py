"""
Explores every interleaving of coroutines that share a store.

A run is a sequence of choices, and successive runs enumerate all sequences. The
coroutines are the product's own code; the choices decide when a call on the
head takes effect and whether its reply arrives.

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

_MAX_LOOP_ITERATIONS = 1000


class Choices:
    """One sequence of choices; `advance` moves to the next one."""

    def __init__(self):
        self.path = []
        self.position = 0

    def choose(self, count):
        """Return the index that this run chooses out of ``count`` options."""
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
    """The store's values, and swaps that are still in flight."""

    def __init__(self):
        self.values = {}
        self.version = 0
        self.in_flight = []

    def swap(self, key, expected, text):
        """Write if the key has the expected version."""
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
    """The store as one process sees it."""

    def __init__(self, name, shared, turns):
        self.name = name
        self.shared = shared
        self.turns = turns

    async def read(self, key):
        """Return the key's value and version at this process's turn."""
        if key == HEAD_KEY:
            await self._wait(is_swap=False)
        return self.shared.values.get(key, VersionedValue())

    async def watch(self, key, after_version, wait_seconds):
        """Return the key's value and version at this process's turn."""
        return await self.read(key)

    async def compare_and_swap(self, key, expected_version, value, lease_id=''):
        """
        Write at this process's turn, which may have a fault.

        With the fault 'late' the write stays in flight, and with 'lost' only
        its reply is lost.
        """
        if key != HEAD_KEY:
            return self.shared.swap(key, expected_version, value)
        fault = await self._wait(is_swap=True)
        if fault == 'late':
            self.shared.in_flight.append((key, expected_version, value))
            raise StoreUnavailableError('no reply')
        version = self.shared.swap(key, expected_version, value)
        if fault == 'lost':
            raise StoreUnavailableError('the reply was lost')
        return version

    async def delete(self, key, expected_version):
        """Delete the key if it has the expected version."""
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
    """One run of named coroutines in the order given by the choices."""

    def __init__(self, choices, faults, check):
        self.choices = choices
        self.faults = faults
        self.check = check
        self.shared = SharedState()
        self.turns = {}

    def store(self, name):
        """Return the store as the process ``name`` sees it."""
        return SteppedStore(name, self.shared, self.turns)

    async def run(self, coroutines):
        """Run to the end; swaps in flight arrive at any turn, or at the end."""
        tasks = {
            name: asyncio.create_task(coroutine)
            for name, coroutine in coroutines.items()
        }
        while True:
            await self._run_until_blocked(tasks)
            options = self._options()
            if not options:
                break
            options[self.choices.choose(len(options))]()
            self.check()
        for task in tasks.values():
            await task
        self.check()

    async def _run_until_blocked(self, tasks):
        for _ in range(_MAX_LOOP_ITERATIONS):
            running = {name for name, task in tasks.items() if not task.done()}
            if running <= self.turns.keys():
                return
            await asyncio.sleep(0)
        raise AssertionError('a process neither ends nor calls the store')

    def _options(self):
        options = []
        for name in sorted(self.turns):
            options.append(partial(self._grant, name, ''))
            if self.faults and self.turns[name].is_swap:
                options.append(partial(self._grant, name, 'lost'))
                options.append(partial(self._grant, name, 'late'))
        options.extend(
            partial(self._deliver_in_flight, index)
            for index in range(len(self.shared.in_flight))
        )
        return options

    def _grant(self, name, fault):
        self.faults -= bool(fault)
        self.turns.pop(name).future.set_result(fault)

    def _deliver_in_flight(self, index):
        key, expected, text = self.shared.in_flight.pop(index)
        try:
            self.shared.swap(key, expected, text)
        except StoreConflictError:
            return


def explore(loop, run_once):
    """Run every sequence of choices and return the number of runs."""
    choices = Choices()
    run_count = 0
    while True:
        loop.run_until_complete(run_once(choices))
        run_count += 1
        if not choices.advance():
            return run_count
