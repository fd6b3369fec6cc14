"""
Randomized soak test: real gateway processes under injected faults.

The store, the servers and the callers are stand-ins in this process; each
gateway is a process of its own. The plan of faults is drawn from a seed; faults
follow each other at short intervals and overlap. The guarantees are checked
against what callers and servers observed.
"""

__all__ = ('run_soak',)

from zinniaturn.experiments.soak.run import run_soak
