"""The base of the connections that send through an `Outbox`."""

__all__ = ('SendingProtocol',)

import asyncio

from zinniaturn.http1.outbox import Outbox


class SendingProtocol(asyncio.Protocol):
    """Sends on whenever the transport can take more."""

    def __init__(self) -> None:
        self.outbox = Outbox()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.outbox.transport = transport

    def pause_writing(self) -> None:
        """Keep what the other side doesn't take."""
        self.outbox.pause()

    def resume_writing(self) -> None:
        """Send on."""
        self.outbox.resume()
        self.settle()

    def settle(self) -> None:
        """Go on with what waits until enough has been sent."""
