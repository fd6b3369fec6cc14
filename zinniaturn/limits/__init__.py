"""
Limits on callers: number of connections, and time without progress.

This package does no I/O; `zinniaturn.entry.protocol` enforces its decisions.
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
