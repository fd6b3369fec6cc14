"""HTTP server on a loopback port, shared by the test doubles."""

__all__ = ('LoopbackService',)

from aiohttp import web


class LoopbackService:
    """An HTTP application that listens on a loopback port."""

    def __init__(self, application: web.Application) -> None:
        self.runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
        )

    @property
    def port(self) -> int:
        """Return the port that the application listens on."""
        return int(self.runner.addresses[0][1])

    async def start(self, port: int = 0) -> None:
        """Start listening; port 0 takes any free port."""
        await self.runner.setup()
        await web.TCPSite(self.runner, '127.0.0.1', port).start()

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        await self.runner.cleanup()
