"""What ``zinniaturn routes`` and ``zinniaturn pools`` have in common."""

__all__ = ('accept_edit', 'load_tables')

import asyncio
import difflib
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import click
import yaml

from zinniaturn.configuration import commit, read_tables
from zinniaturn.store import HttpStore
from zinniaturn.tables import Tables
from zinniaturn.tables.codec import models_of

Edit = Callable[[Tables], Tables]


def load_tables(store_url: str) -> Tables:
    """Return the tables as the store holds them."""
    return asyncio.run(_load(store_url))


def accept_edit(store_url: str, edit: Edit, dry_run: bool) -> None:
    """Show what an edit changes and commit it, unless it is a dry run."""
    asyncio.run(_accept(store_url, edit, dry_run))


async def _load(store_url: str) -> Tables:
    async with _opened(store_url) as store:
        return (await read_tables(store)).tables


async def _accept(store_url: str, edit: Edit, dry_run: bool) -> None:
    async with _opened(store_url) as store:
        base = await read_tables(store)
        edited = edit(base.tables)
        difference = _difference(base.tables, edited)
        if not difference:
            click.echo(f'no change; revision {base.tables.revision} stands')
            return
        click.echo(difference)
        if dry_run:
            click.echo('dry run; nothing was changed')
            return
        accepted = await commit(store, base, edited)
        click.echo(f'accepted as revision {accepted.revision}')


@asynccontextmanager
async def _opened(store_url: str) -> AsyncIterator[HttpStore]:
    store = HttpStore(store_url)
    try:
        yield store
    finally:
        await store.close()


def _difference(before: Tables, after: Tables) -> str:
    lines = difflib.unified_diff(
        _text(before).splitlines(),
        _text(after).splitlines(),
        f'revision {before.revision}',
        'edited',
        lineterm='',
    )
    return '\n'.join(lines)


def _text(tables: Tables) -> str:
    routes, pools = models_of(tables)
    return yaml.safe_dump(
        {
            'routes': [route.model_dump(mode='json') for route in routes],
            'pools': [pool.model_dump(mode='json') for pool in pools],
        },
        sort_keys=False,
    )
