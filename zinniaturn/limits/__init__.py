"""
Limits on callers: connections, and how slowly a connection may move.

The decisions have no input or output; `zinniaturn.entry.protocol` obeys them.
"""

__all__ = (
    'ConnectionAdmission',
    'LimitName',
    'ProgressLimits',
    'TransferProgress',
    'TransferStep',
)

from zinniaturn.limits.admission import ConnectionAdmission
from zinniaturn.limits.names import LimitName
from zinniaturn.limits.progress import (
    ProgressLimits,
    TransferProgress,
    TransferStep,
)
