"""What the parts of an entry with one endless task have in common."""

__all__ = ('BackgroundComponent',)

import asyncio


class BackgroundComponent:
    """
    Runs `_run` in a task of its own from `start` to `stop`.

    A subclass gives `_run`, which goes on for ever.
    """

    task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin the work."""
        self.task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End the work and wait for it."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        raise NotImplementedError
