"""
zinniaturn, a load balancer for callers that are programs.

It chooses a backend server for each request while server load shifts within
milliseconds, and it reports the true outcome of every request.
"""

__all__ = ('VERSION',)

VERSION = '0.1.0'
