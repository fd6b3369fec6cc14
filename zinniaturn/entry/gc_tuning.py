"""
Garbage collector settings that keep collections off the request path.

A full collection visits every tracked object, and the tables of a large fleet
consist of many long-lived objects. They are frozen, which excludes them from
collection. The youngest generation is collected less often, since requests
leave few reference cycles.
"""

__all__ = ('freeze_heap', 'tune_garbage_collector')

import gc

_GENERATION_THRESHOLDS = (20_000, 20, 50)


def tune_garbage_collector() -> None:
    """Set the thresholds for serving requests and freeze the heap."""
    gc.set_threshold(*_GENERATION_THRESHOLDS)
    freeze_heap()


def freeze_heap() -> None:
    """Exclude the objects that exist now from later collections."""
    gc.freeze()
