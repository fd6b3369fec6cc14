"""Following the store's tables with one long poll at a time."""

__all__ = ('follow_store',)

import asyncio
import random

from zinniaturn.configuration.commit import TABLES_KEY
from zinniaturn.configuration.holder import TablesHolder
from zinniaturn.events import LogEvent, log_event
from zinniaturn.store import ConfigurationStore, Entry, StoreError
from zinniaturn.tables import TablesError, decode_tables

_WAIT_SECONDS = 20.0
_PAUSE_SECONDS = 0.5


async def follow_store(
    store: ConfigurationStore,
    holder: TablesHolder,
    source: random.Random,
) -> None:
    """Install every higher revision that the store shows, for ever."""
    version = 0
    is_out = False
    while True:
        try:
            entry = await store.watch(TABLES_KEY, version, _WAIT_SECONDS)
        except StoreError as error:
            if not is_out:
                log_event(LogEvent.STORE_UNAVAILABLE, reason=str(error))
            is_out = True
            await asyncio.sleep(_PAUSE_SECONDS * (1 + source.random()))
            continue
        if is_out:
            log_event(LogEvent.STORE_BACK)
        is_out = False
        if entry.version != version:
            _install(holder, entry)
        version = entry.version


def _install(holder: TablesHolder, entry: Entry) -> None:
    if not entry.version:
        if holder.tables.revision:
            log_event(LogEvent.REVISION_REFUSED, reason='the store is empty')
        return
    try:
        tables = decode_tables(entry.value)
    except TablesError as error:
        log_event(LogEvent.REVISION_REFUSED, reason=str(error))
        return
    if not holder.install(tables):
        log_event(
            LogEvent.REVISION_REFUSED,
            reason='the store holds an older revision',
            offered=tables.revision,
            in_force=holder.tables.revision,
        )
