"""
Records an entry's decisions and explains them to operators.

The components of the entry record their decisions through `Recorder`. A
bounded in-memory log keeps the latest ones; ``zinniaturn explain`` selects
those on one subject and prints each as a sentence.
"""

__all__ = ('DecisionLog', 'Recorder')

from zinniaturn.explain.recorder import DecisionLog, Recorder
