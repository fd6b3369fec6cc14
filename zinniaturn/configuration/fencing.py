"""
Fences on a store that has lost accepted revisions.

While the head has a fence, no change is accepted until the tables have been
restored.
"""

__all__ = ('fence_store',)

from dataclasses import replace

from zinniaturn.configuration.head import Fence, Head, encode_head
from zinniaturn.configuration.layout import HEAD_KEY, StoredHead
from zinniaturn.store import ConfigurationStore, StoreConflictError


async def fence_store(
    store: ConfigurationStore,
    stored: StoredHead,
    held: Head,
    entry_name: str,
) -> bool:
    """
    Add a fence to the stored head; return whether it was written.

    The fence says that the entry has installed ``held``, which the store has
    lost. If the head has changed meanwhile, nothing is written: ``stored`` was
    then a stale reply and not an older state of the store. Raises the store's
    errors.
    """
    fenced = replace(stored.head, fence=Fence(held.position, entry_name))
    try:
        await store.compare_and_swap(
            HEAD_KEY,
            stored.version,
            encode_head(fenced),
        )
    except StoreConflictError:
        return False
    return True
