"""
Why the entry did what it did.

Every part of the entry records its decisions through one narrow interface;
a bounded memory keeps the latest of them, and queries turn them into
sentences.
"""

__all__ = ('DecisionLog', 'Recorder')

from zinniaturn.explain.recorder import DecisionLog, Recorder
