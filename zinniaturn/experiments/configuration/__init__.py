"""
Experiments with the configuration: operators, entries and a failing store.

Real entry processes watch a stand-in of the store while faults are injected. A
checker verifies the history of all commits and installed revisions.
"""

__all__ = ('run_full', 'run_smoke')

from zinniaturn.experiments.configuration.run import run_full, run_smoke
