"""
The planned stop of a gateway process.

Callers keep using addresses from earlier look-ups for a while. So the process
says at once that it stops, goes on serving for most of the time that it has,
and then waits for the requests in flight. It accepts no request that might
take longer than the process lasts (`zinniaturn.gateway.stop_gate`).
"""

__all__ = ('GracefulStop',)

import asyncio
from dataclasses import dataclass

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.domain import VmStage
from zinniaturn.gateway.dispatch import Dispatcher
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.listener import Listener
from zinniaturn.placing.planned_stop import PlannedStop

_POLL_SECONDS = 0.05


@dataclass(slots=True)
class GracefulStop:
    """Stops the listeners of a process without cutting off requests."""

    state: GatewayState
    dispatcher: Dispatcher
    listeners: list[Listener]

    async def run(self, seconds: float) -> None:
        """Serve what can be finished within ``seconds``, then return."""
        loop = asyncio.get_running_loop()
        stop = PlannedStop.begin(loop.time(), seconds)
        self.state.planned_stop = stop
        self.state.stage = VmStage.STOPPING
        self.state.event_log.write(
            LogEvent.GATEWAY_STOPPING, in_flight=self._in_flight()
        )
        self.dispatcher.begin_stop()
        await self._announce()
        await asyncio.sleep(stop.listen_until - loop.time())
        await self._finish_requests(stop.exit_at)

    async def _announce(self) -> None:
        """Tell the other VMs; a failure to do so must not end the stop."""
        try:
            await self.state.gossip.announce_stopping()
        except Exception as error:
            self.state.log_fault('announcing the stop', error)

    def log_end(self) -> None:
        """Log how many requests the end of the process cuts off."""
        self.state.event_log.write(
            LogEvent.GATEWAY_STOPPED, in_flight=self._in_flight()
        )

    async def _finish_requests(self, until: float) -> None:
        """Stop listening and wait for requests in flight, at most ``until``."""
        loop = asyncio.get_running_loop()
        self._close_idle_connections()
        # The connections accepted last are known after this time.
        await asyncio.sleep(_POLL_SECONDS)
        while loop.time() < until and not self._is_idle():
            self._close_idle_connections()
            await asyncio.sleep(_POLL_SECONDS)

    def _close_idle_connections(self) -> None:
        for listener in self.listeners:
            listener.close()

    def _is_idle(self) -> bool:
        return all(listener.is_idle() for listener in self.listeners)

    def _in_flight(self) -> int:
        return sum(listener.in_flight for listener in self.listeners)
