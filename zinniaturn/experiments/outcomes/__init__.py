"""
The soak of outcomes.

Real entry processes under a load of callers that never give up, with faults at
random from a seed. Every execution is counted at the backend servers, and every
answer proves whose it is.
"""

__all__ = ()
