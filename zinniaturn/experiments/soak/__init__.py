"""
A randomized soak: real gateway processes under faults from outside.

The store, the servers and the callers are stand-ins in this process; each
gateway is a process of its own. A seed makes the plan of faults; they come in
series and overlap. The promises are checked from what callers and servers saw.
"""

__all__ = ('run_soak',)

from zinniaturn.experiments.soak.run import run_soak
