"""Starting the gateway with the platform's settings, store and names."""

__all__ = ('main',)

import asyncio
import os
import sys
from pathlib import Path

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.event_log import EventLog
from zinniaturn.gateway.process import run_gateway
from zinniaturn.gateway.settings import GatewaySettings
from zinniaturn.platform.exceptions import SettingsFileError
from zinniaturn.platform.settings_file import VARIABLE, read_settings
from zinniaturn.platform.store import PlatformStore
from zinniaturn.platform.wire_format import PlatformWireFormat

_USAGE_STATUS = 2


def main(arguments: list[str]) -> None:
    """Run until told to stop; ``arguments`` may give the metrics port."""
    metrics_port = int(arguments[0]) if arguments else 0
    path = os.environ.get(VARIABLE, '')
    event_log = EventLog('')
    event_log.set_nonblocking()
    try:
        settings = read_settings(path, metrics_port)
    except SettingsFileError as error:
        event_log.write(LogEvent.SETTINGS_REFUSED, True, reason=str(error))
        sys.exit(_USAGE_STATUS)
    event_log.vm = settings.name
    store = PlatformStore(settings.store, settings.host)
    changes = _Changes(path, metrics_port, settings, event_log)

    def reload() -> GatewaySettings | None:
        changed = changes.read()
        if changed is not None:
            store.address = changed.store
        return changed

    asyncio.run(
        run_gateway(settings, store, PlatformWireFormat(), event_log, reload),
    )


class _Changes:
    """The settings file's changes since it was last read."""

    def __init__(
        self,
        path: str,
        metrics_port: int,
        settings: GatewaySettings,
        event_log: EventLog,
    ) -> None:
        self.path = path
        self.metrics_port = metrics_port
        self.settings = settings
        self.event_log = event_log
        self.refused = ''
        self.modified = self._modified()

    def read(self) -> GatewaySettings | None:
        """Return changed settings; those that can't be used are logged."""
        modified = self._modified()
        if modified == self.modified:
            return None
        self.modified = modified
        try:
            settings = read_settings(self.path, self.metrics_port)
        except SettingsFileError as error:
            self.event_log.write(
                LogEvent.SETTINGS_REFUSED,
                True,
                reason=str(error),
            )
            return None
        if settings == self.settings:
            return None
        self.settings = settings
        return settings

    def _modified(self) -> tuple[int, int]:
        try:
            status = Path(self.path).stat()
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size
