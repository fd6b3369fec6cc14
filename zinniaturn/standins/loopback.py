"""Listening of the stand-ins on loopback."""

__all__ = ('LoopbackService',)

from aiohttp import web


class LoopbackService:
    """An application that listens on a loopback address."""

    def __init__(self, application: web.Application) -> None:
        self.runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
        )

    @property
    def port(self) -> int:
        """Return the port."""
        return int(self.runner.addresses[0][1])

    async def start(self, port: int = 0) -> None:
        """Listen; port 0 takes any free one."""
        await self.runner.setup()
        await web.TCPSite(self.runner, '127.0.0.1', port).start()

    async def stop(self) -> None:
        """Stop at once."""
        await self.runner.cleanup()
