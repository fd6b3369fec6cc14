"""Upload of a request body to a backend server."""

__all__ = ('Upload',)

import asyncio
import contextlib
from collections.abc import Coroutine

from zinniaturn.forwarding.connections import BackendConnection


class Upload:
    """
    Sends a body in its own task, while the response is read.

    A server may respond before it has received the whole body. The upload
    then continues while the response is forwarded, and stops once the
    response is complete.
    """

    def __init__(
        self,
        connection: BackendConnection,
        sending: Coroutine[None, None, None],
    ) -> None:
        self.connection = connection
        self.task = asyncio.ensure_future(sending)
        self.task.add_done_callback(self._close_on_error)

    async def wait(self) -> None:
        """
        Wait until the body is sent.

        A closed connection is no error here, as the server may have responded
        before closing it. Raises the errors of the body's source.
        """
        with contextlib.suppress(OSError):
            await self.task

    def stop(self) -> None:
        """Stop sending; an unfinished body makes the connection unusable."""
        if not self.task.done():
            self.task.cancel()
            self.connection.protocol.force_close()

    def _close_on_error(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        if isinstance(task.exception(), OSError):
            self.connection.protocol.force_close()
        else:
            self.connection.close()
