"""Runs a gateway process until it is told to stop."""

__all__ = ('run_gateway',)

import asyncio
import signal
from collections.abc import Callable

from zinniaturn.fleet.store import FleetStore
from zinniaturn.gateway.event_log import EventLog
from zinniaturn.gateway.process import Gateway
from zinniaturn.gateway.settings import GatewaySettings
from zinniaturn.gateway.wire_format import WireFormat

ReloadSettings = Callable[[], GatewaySettings | None]


async def run_gateway(
    settings: GatewaySettings,
    store: FleetStore,
    wire_format: WireFormat,
    event_log: EventLog,
    reload_settings: ReloadSettings,
) -> None:
    """
    Run a gateway until SIGTERM or SIGINT.

    ``reload_settings`` returns changed settings, or ``None`` if nothing has
    changed; it is called on SIGHUP and every second.
    """
    gateway = Gateway(settings, store, wire_format, event_log)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()

    def apply_changed() -> None:
        try:
            changed = reload_settings()
        except Exception as error:
            gateway.state.log_fault('reloading the settings', error)
            return
        if changed is not None:
            gateway.apply(changed)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, apply_changed)
    await gateway.start()
    settings_poll = asyncio.create_task(_poll_settings(apply_changed))
    await stopping.wait()
    settings_poll.cancel()
    await gateway.stop()


async def _poll_settings(apply_changed: Callable[[], None]) -> None:
    """Look for changed settings each second, as not each change is told."""
    while True:
        await asyncio.sleep(1)
        apply_changed()
