"""
Limits on callers: connections, and how slowly a connection may move.

The decisions have no input or output; `zinniaturn.entry.protocol` obeys them.
"""

__all__ = ('Admission', 'LimitName', 'Progress', 'ProgressLimits', 'Step')

from zinniaturn.limits.admission import Admission
from zinniaturn.limits.names import LimitName
from zinniaturn.limits.progress import Progress, ProgressLimits, Step
