"""
Garbage collection away from the hot path.

A full collection walks every tracked object; the tables of a large fleet are
many and live long. They are moved out of the collector's sight, and the
youngest generation is collected less often, since requests leave few cycles.
"""

__all__ = ('freeze_heap', 'tune_garbage_collector')

import gc

_THRESHOLDS = (20_000, 20, 50)


def tune_garbage_collector() -> None:
    """Set the collector's thresholds for a process that serves requests."""
    gc.set_threshold(*_THRESHOLDS)
    freeze_heap()


def freeze_heap() -> None:
    """Take what lives now out of later collections."""
    gc.freeze()
