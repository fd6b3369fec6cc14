"""Crashes of the stand-in servers by the requests that they run."""

__all__ = ('Crash', 'CrashRule', 'CrashingServer')

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from zinniaturn.http1.messages import Request


class CrashingServer(Protocol):
    """What a crash needs of a server."""

    name: str

    async def stop(self) -> None:
        """End the process."""


@dataclass(frozen=True, slots=True)
class Crash:
    """A process that a request has ended; ``at`` is the loop's time."""

    server: str
    target: bytes
    at: float


@dataclass(slots=True)
class CrashRule:
    """
    Ends the process of each server that runs a request with a marked target.

    ``marks`` are parts of targets. Of the runs of such a request each
    ``every``-th crashes, up to ``most`` in all, ``after_seconds`` after it has
    begun. ``crashes`` lists those so far, and ``runs`` the times at which each
    marked target began to run. ``on_crash`` is called with the server, whose
    next process has to have another name.
    """

    marks: frozenset[bytes]
    after_seconds: float = 0.02
    every: int = 1
    most: int | None = None
    on_crash: Callable[[CrashingServer], None] | None = None
    crashes: list[Crash] = field(default_factory=list)
    runs: list[tuple[bytes, float]] = field(default_factory=list)
    counts: Counter[bytes] = field(default_factory=Counter)
    ended: set[str] = field(default_factory=set)
    tasks: set['asyncio.Task[None]'] = field(default_factory=set)

    def note_run(self, server: CrashingServer, request: Request) -> None:
        """Crash the server a moment later if the request is marked."""
        target = request.target
        if not any(mark in target for mark in self.marks):
            return
        self.runs.append((target, asyncio.get_running_loop().time()))
        self.counts[target] += 1
        is_spared = self.counts[target] % self.every
        is_over = self.most is not None and len(self.crashes) >= self.most
        if not (is_spared or is_over):
            task = asyncio.ensure_future(self._crash(server, target))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _crash(self, server: CrashingServer, target: bytes) -> None:
        name = server.name
        await asyncio.sleep(self.after_seconds)
        if server.name != name or name in self.ended:
            return
        self.ended.add(name)
        now = asyncio.get_running_loop().time()
        self.crashes.append(Crash(name, target, now))
        await server.stop()
        if self.on_crash is not None:
            self.on_crash(server)
