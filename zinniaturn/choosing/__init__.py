"""
Choosing the backend server: decisions without input or output.

The clock and the random source are passed in; the entry, tests and benches
drive the same code.
"""

__all__ = (
    'PRODUCT_POLICY',
    'Completion',
    'LoadReport',
    'PoolState',
    'RefusedError',
    'ServerState',
    'Ticket',
    'policy_for_pool',
    'policy_named',
)

from zinniaturn.choosing.exceptions import RefusedError
from zinniaturn.choosing.pool_state import PoolState
from zinniaturn.choosing.registry import (
    PRODUCT_POLICY,
    policy_for_pool,
    policy_named,
)
from zinniaturn.choosing.server_state import (
    Completion,
    LoadReport,
    ServerState,
)
from zinniaturn.choosing.waiting import Ticket
