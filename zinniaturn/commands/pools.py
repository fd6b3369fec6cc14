"""Implements ``zinniaturn pools``, which reads and edits the pools."""

__all__ = ('pools',)

from collections.abc import Sequence

from zinniaturn.commands.tables import TableKind, table_group
from zinniaturn.configuration import apply_pools, delete_pools
from zinniaturn.tables import Tables, parse_pools
from zinniaturn.tables.codec import models_of
from zinniaturn.tables.models import PoolModel


def _rows(tables: Tables) -> Sequence[PoolModel]:
    return models_of(tables)[1]


def _apply(tables: Tables, rows: Sequence[PoolModel]) -> Tables:
    return apply_pools(tables, [row.to_domain() for row in rows])


def _summarize(pool: PoolModel) -> Sequence[str]:
    servers = pool.servers
    return [
        pool.name,
        str(len(servers)),
        str(sum(server.leaving for server in servers)),
        str(sum(server.slots for server in servers)),
        f'{pool.measuring_budget:g}',
        f'{pool.retry_share:g}',
        str(pool.queue_limit),
    ]


pools = table_group(
    TableKind(
        name='pools',
        noun='pool',
        columns=(
            'NAME',
            'SERVERS',
            'LEAVING',
            'SLOTS',
            'BUDGET (1/s a server)',
            'RETRY SHARE',
            'QUEUE',
        ),
        summarize=_summarize,
        rows=_rows,
        parse=parse_pools,
        apply=_apply,
        delete=delete_pools,
    ),
)
