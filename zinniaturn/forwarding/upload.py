"""A request's body on its way to a backend server."""

__all__ = ('Upload',)

import asyncio
import contextlib
from collections.abc import Coroutine

from zinniaturn.forwarding.connections import BackendConnection


class Upload:
    """
    Sends a body in a task of its own, beside the reading of the answer.

    A server may answer before it has the whole body. It goes on receiving
    the body while its answer is passed on; once its answer is whole, the rest
    is not sent any more.
    """

    def __init__(
        self,
        connection: BackendConnection,
        sending: Coroutine[None, None, None],
    ) -> None:
        self.connection = connection
        self.task = asyncio.ensure_future(sending)
        self.task.add_done_callback(self._close_if_broken)

    async def wait(self) -> None:
        """
        Wait until the body is sent.

        A server that closed its connection may have answered before, so this
        is no error here. Raises what the source of the body raises.
        """
        with contextlib.suppress(OSError):
            await self.task

    def end(self) -> None:
        """Stop sending; an unfinished body makes the connection unusable."""
        if not self.task.done():
            self.task.cancel()
            self.connection.protocol.force_close()

    def _close_if_broken(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        if isinstance(task.exception(), OSError):
            self.connection.protocol.force_close()
        else:
            self.connection.close()
