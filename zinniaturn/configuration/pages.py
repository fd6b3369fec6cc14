"""
Pages: steps of the hash chain that the head no longer holds.

Before the head drops its oldest steps, they are stored as a page. The pages
form a ring buffer, which bounds the audit trail; the audit records of an
overwritten page are deleted with it.
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
    """Consecutive steps, the first of which is that of ``first_revision``."""

    first_revision: int
    steps: tuple[ChainStep, ...]


async def archive_page(store: ConfigurationStore, head: Head) -> None:
    """Store the oldest steps as a page if the next head will drop them."""
    if len(head.steps) < MAX_HEAD_STEPS:
        return
    page = Page(head.first_revision, head.steps[:STEPS_PER_PAGE])
    key = _page_key(page.first_revision)
    stored_value = await store.read(key)
    existing = _decode_page(stored_value)
    if existing == page:
        return
    if existing is not None:
        await _delete_records(store, existing)
    try:
        await store.compare_and_swap(
            key,
            stored_value.version,
            msgspec.json.encode(page).decode(),
        )
    except StoreConflictError:
        return


async def read_page(
    store: ConfigurationStore,
    revision: int,
) -> Page | None:
    """Return the page that holds a revision, or ``None``."""
    page = _decode_page(await store.read(_page_key(revision)))
    if page is None or revision < page.first_revision:
        return None
    return page if revision < page.first_revision + STEPS_PER_PAGE else None


async def read_pages(
    store: ConfigurationStore,
    head: Head,
) -> AsyncIterator[Page]:
    """Yield the head's own steps as a page, then the pages, newest first."""
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
    """Return the revision as which a change was accepted, or ``None``."""
    async for page in read_pages(store, head):
        for index, step in enumerate(page.steps):
            if step.change_id == change_id:
                return page.first_revision + index
    return None


async def _delete_records(store: ConfigurationStore, page: Page) -> None:
    for index, step in enumerate(page.steps):
        key = record_key(page.first_revision + index, step.change_id)
        stored_value = await store.read(key)
        if stored_value.version:
            with contextlib.suppress(StoreConflictError):
                await store.delete(key, stored_value.version)


def _page_key(revision: int) -> str:
    number = (revision - 1) // STEPS_PER_PAGE % MAX_PAGES
    return f'{KEY_PREFIX}/pages/{number}'


def _decode_page(stored_value: VersionedValue) -> Page | None:
    if not stored_value.version:
        return None
    try:
        return msgspec.json.decode(stored_value.value, type=Page)
    except msgspec.DecodeError as error:
        raise StoredStateError(f'a page is invalid: {error}') from error
