"""
Choosing the backend server: decisions without input or output.

The clock and the random source are passed in; the entry, tests and benches
drive the same code.
"""

__all__ = (
    'Completion',
    'PoolState',
    'RefusedError',
    'ServerState',
    'policy_named',
)

from zinniaturn.choosing.exceptions import RefusedError
from zinniaturn.choosing.policies import policy_named
from zinniaturn.choosing.pool_state import PoolState
from zinniaturn.choosing.server_state import Completion, ServerState
