"""Stores that commands open and close."""

__all__ = ('opened', 'opened_optional')

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from zinniaturn.store import HttpStore


@asynccontextmanager
async def opened(store_url: str) -> AsyncIterator[HttpStore]:
    """Yield a client of the store."""
    store = HttpStore(store_url, caller='operator')
    try:
        yield store
    finally:
        await store.close()


@asynccontextmanager
async def opened_optional(store_url: str) -> AsyncIterator[HttpStore | None]:
    """Yield a client of the store, or ``None`` without an URL."""
    if not store_url:
        yield None
        return
    async with opened(store_url) as store:
        yield store
