"""Opens store clients for commands and closes them afterwards."""

__all__ = ('open_optional_store', 'open_store')

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from zinniaturn.store import HttpStore


@asynccontextmanager
async def open_store(store_url: str) -> AsyncIterator[HttpStore]:
    """Yield a client of the store."""
    store = HttpStore(store_url, caller='operator')
    try:
        yield store
    finally:
        await store.close()


@asynccontextmanager
async def open_optional_store(
    store_url: str,
) -> AsyncIterator[HttpStore | None]:
    """Yield a client of the store, or ``None`` if the URL is empty."""
    if not store_url:
        yield None
        return
    async with open_store(store_url) as store:
        yield store
