"""Operators that commit random edits of the tables."""

__all__ = ('Operator', 'initial_tables', 'rows_of')

import asyncio
import contextlib
import random
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

from zinniaturn.configuration import settle
from zinniaturn.configuration.changes import Change, diff_tables
from zinniaturn.configuration.commit import (
    StoredTables,
    commit_snapshot,
    new_change_id,
    read_tables,
)
from zinniaturn.configuration.edits import (
    apply_pools,
    apply_routes,
    delete_pools,
    delete_routes,
)
from zinniaturn.configuration.exceptions import (
    CommitUnknownError,
    ConfigurationUnavailableError,
)
from zinniaturn.errors import CodedError
from zinniaturn.experiments.configuration.history import (
    Commit,
    History,
    Outcome,
    RowEdit,
)
from zinniaturn.peers import PeerClient
from zinniaturn.status import find_members, offer_to_entries
from zinniaturn.store import HttpStore, StoreError
from zinniaturn.tables.codec import models_of
from zinniaturn.tables.domain import Pool, Route, Server, Tables

ROUTE_NAME_COUNT = 40
POOL_COUNT = 6

_MAX_THINK_SECONDS = 0.3
_SETTLE_PAUSE_SECONDS = 0.3


def initial_tables() -> Tables:
    """Return the tables at the start of every run."""
    pools = [_build_pool(f'pool-{number}', 1) for number in range(POOL_COUNT)]
    routes = [
        Route(f'route-{number}', 'pool-0', path_prefix=f'/start/{number}')
        for number in range(ROUTE_NAME_COUNT // 2)
    ]
    return apply_routes(apply_pools(Tables(), pools), routes)


def rows_of(tables: Tables) -> Mapping[str, str]:
    """Return the text of every row by its table and name."""
    routes, pools = models_of(tables)
    return {
        **{f'route {row.name}': row.model_dump_json() for row in routes},
        **{f'pool {row.name}': row.model_dump_json() for row in pools},
    }


@dataclass
class Operator:
    """An operator who proposes changes until ``is_stopping`` is set."""

    name: str
    store: HttpStore
    random_source: random.Random
    history: History
    is_stopping: bool = False
    client: PeerClient = field(default_factory=PeerClient)

    async def run(self) -> None:
        """Edit until stopped; settle an unknown commit before the next."""
        while not self.is_stopping:
            await asyncio.sleep(
                _MAX_THINK_SECONDS * self.random_source.random()
            )
            try:
                base = await read_tables(self.store)
            except (CodedError, StoreError):
                continue
            await asyncio.sleep(
                _MAX_THINK_SECONDS * self.random_source.random()
            )
            await self._propose_change(base)
        await self.client.close()

    async def _propose_change(self, base: StoredTables) -> None:
        edited = self._edit(base.tables)
        change = diff_tables(base.tables, edited)
        if change.is_empty():
            return
        commit = Commit(
            new_change_id(),
            _row_edits(change),
            Outcome.REFUSED,
            0,
        )
        self.history.commits.append(commit)
        try:
            await self._commit(base, edited, commit)
        except CommitUnknownError:
            commit.was_unknown = True
            await self._settle(commit)
        except (ConfigurationUnavailableError, StoreError):
            commit.outcome = Outcome.UNAVAILABLE
        except CodedError:
            commit.outcome = Outcome.REFUSED
        commit.ended_at = commit.ended_at or time.time()

    async def _commit(
        self,
        base: StoredTables,
        edited: Tables,
        commit: Commit,
    ) -> None:
        members = await find_members(self.store)
        accepted = await commit_snapshot(
            self.store,
            base,
            edited,
            author=self.name,
            reason='experiment',
            change_id=commit.change_id,
        )
        commit.outcome = Outcome.ACCEPTED
        commit.ended_at = time.time()
        with contextlib.suppress(CodedError):
            await offer_to_entries(
                self.client,
                members,
                accepted.snapshot,
                self.random_source,
            )

    async def _settle(self, commit: Commit) -> None:
        commit.outcome = Outcome.UNKNOWN
        while commit.outcome is Outcome.UNKNOWN:
            await asyncio.sleep(_SETTLE_PAUSE_SECONDS)
            try:
                settled_change = await settle(self.store, commit.change_id)
            except (CodedError, StoreError):
                continue
            is_accepted = settled_change.revision is not None
            commit.outcome = (
                Outcome.ACCEPTED if is_accepted else Outcome.REFUSED
            )

    def _edit(self, tables: Tables) -> Tables:
        kind = self.random_source.choices(
            ('route', 'delete-route', 'pool', 'delete-pool'),
            (8, 2, 2, 1),
        )[0]
        match kind:
            case 'route':
                return apply_routes(tables, [self._random_route(tables)])
            case 'delete-route' if tables.routes:
                return delete_routes(tables, [self._choose_name(tables.routes)])
            case 'pool':
                name = f'pool-{self.random_source.randrange(POOL_COUNT * 2)}'
                return apply_pools(
                    tables, [_build_pool(name, self._random_number())]
                )
            case 'delete-pool' if tables.pools:
                return self._delete_build_pool(tables)
        return tables

    def _random_route(self, tables: Tables) -> Route:
        name = f'route-{self.random_source.randrange(ROUTE_NAME_COUNT)}'
        pool = self._choose_name(tables.pools)
        return Route(
            name, pool, path_prefix=f'/{self.name}/{self._random_number()}'
        )

    def _delete_build_pool(self, tables: Tables) -> Tables:
        used = {route.pool for route in tables.routes.values()}
        unused = {name: 0 for name in tables.pools if name not in used}
        if not unused:
            return tables
        return delete_pools(tables, [self._choose_name(unused)])

    def _choose_name(self, rows: Mapping[str, object]) -> str:
        return self.random_source.choice(sorted(rows))

    def _random_number(self) -> int:
        return self.random_source.randrange(1, 10_000)


def _build_pool(name: str, slots: int) -> Pool:
    return Pool(name, (Server(f'{name}-0', '127.0.0.1', 9, slots),))


def _row_edits(change: Change) -> tuple[RowEdit, ...]:
    before = rows_of(change.before)
    after = rows_of(change.after)
    return tuple(
        RowEdit(row, before.get(row), after.get(row))
        for row in sorted(before.keys() | after.keys())
    )
