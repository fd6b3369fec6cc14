"""
Experiments with the configuration: operators, entries and a failing store.

Real entry processes follow a stand-in of the store while faults come and go;
a checker goes over the history of every commit and every installed revision.
"""

__all__ = ('run_full', 'run_smoke')

from zinniaturn.experiments.configuration.run import run_full, run_smoke
