"""Base class of components that run one endless task."""

__all__ = ('BackgroundComponent',)

import asyncio


class BackgroundComponent:
    """
    Runs `_run` in a task from `start` to `stop`.

    A subclass implements `_run`, which does not return.
    """

    task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task."""
        self.task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Cancel the task and wait for its end."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        raise NotImplementedError
