"""
Load balancing decisions of the entry: policies, limits, ejection and queues.

The package does no input or output. The clock and the random source are passed
in, so that the entry, tests and experiments run the same code. The policies are
loaded on first use, since the gateway process does not need them: it places
requests by `zinniaturn.placing`.
"""

__all__ = (
    'PRODUCT_POLICY',
    'Completion',
    'LoadReport',
    'PoolState',
    'RejectedError',
    'ServerState',
    'Ticket',
    'policy_for_pool',
    'policy_named',
)

from typing import TYPE_CHECKING

from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.choosing.reports import LoadReport
from zinniaturn.loading import load_on_use

if TYPE_CHECKING:
    from zinniaturn.choosing.pool_state import PoolState
    from zinniaturn.choosing.registry import (
        PRODUCT_POLICY,
        policy_for_pool,
        policy_named,
    )
    from zinniaturn.choosing.server_state import Completion, ServerState
    from zinniaturn.choosing.waiting import Ticket

__getattr__ = load_on_use(
    __name__,
    {
        'PRODUCT_POLICY': 'zinniaturn.choosing.registry',
        'policy_for_pool': 'zinniaturn.choosing.registry',
        'policy_named': 'zinniaturn.choosing.registry',
        'Completion': 'zinniaturn.choosing.server_state',
        'PoolState': 'zinniaturn.choosing.pool_state',
        'ServerState': 'zinniaturn.choosing.server_state',
        'Ticket': 'zinniaturn.choosing.waiting',
    },
)
