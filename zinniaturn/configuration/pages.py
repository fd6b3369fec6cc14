"""
Pages of steps that have left the head.

Before the head drops its oldest steps, they are kept as a page. The pages are
a ring, so the audit trail is bounded; the records of an overwritten page go
with it.
"""

__all__ = ('MAX_PAGES', 'Page', 'archive_page', 'find_revision', 'read_page')

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

import msgspec

from zinniaturn.configuration.exceptions import StoredStateError
from zinniaturn.configuration.head import ChainStep, Head
from zinniaturn.configuration.planning import (
    KEY_PREFIX,
    MAX_HEAD_STEPS,
    STEPS_PER_PAGE,
    record_key,
)
from zinniaturn.store import (
    ConfigurationStore,
    StoreConflictError,
    VersionedValue,
)

MAX_PAGES = 1024


@dataclass(frozen=True, slots=True)
class Page:
    """Steps from ``first_revision`` on."""

    first_revision: int
    steps: tuple[ChainStep, ...]


async def archive_page(store: ConfigurationStore, head: Head) -> None:
    """Keep the oldest steps as a page if the next head drops them."""
    if len(head.steps) < MAX_HEAD_STEPS:
        return
    page = Page(head.first_revision, head.steps[:STEPS_PER_PAGE])
    key = _key(page.first_revision)
    entry = await store.read(key)
    old = _decode(entry)
    if old == page:
        return
    if old is not None:
        await _remove_records(store, old)
    try:
        await store.compare_and_swap(
            key,
            entry.version,
            msgspec.json.encode(page).decode(),
        )
    except StoreConflictError:
        return


async def read_page(
    store: ConfigurationStore,
    revision: int,
) -> Page | None:
    """Return the page that holds a revision, or ``None``."""
    page = _decode(await store.read(_key(revision)))
    if page is None or revision < page.first_revision:
        return None
    return page if revision < page.first_revision + STEPS_PER_PAGE else None


async def read_pages(
    store: ConfigurationStore,
    head: Head,
) -> AsyncIterator[Page]:
    """Yield the head's own steps as a page, then older and older pages."""
    yield Page(head.first_revision, head.steps)
    revision = head.first_revision - 1
    while revision > 0:
        page = await read_page(store, revision)
        if page is None:
            return
        yield page
        revision = page.first_revision - 1


async def find_revision(
    store: ConfigurationStore,
    head: Head,
    change_id: str,
) -> int | None:
    """Return the revision that a change was accepted as, or ``None``."""
    async for page in read_pages(store, head):
        for index, step in enumerate(page.steps):
            if step.change_id == change_id:
                return page.first_revision + index
    return None


async def _remove_records(store: ConfigurationStore, page: Page) -> None:
    for index, step in enumerate(page.steps):
        key = record_key(page.first_revision + index, step.change_id)
        entry = await store.read(key)
        if entry.version:
            with contextlib.suppress(StoreConflictError):
                await store.delete(key, entry.version)


def _key(revision: int) -> str:
    number = (revision - 1) // STEPS_PER_PAGE % MAX_PAGES
    return f'{KEY_PREFIX}/pages/{number}'


def _decode(entry: VersionedValue) -> Page | None:
    if not entry.version:
        return None
    try:
        return msgspec.json.decode(entry.value, type=Page)
    except msgspec.DecodeError as error:
        raise StoredStateError(f'a page is invalid: {error}') from error
