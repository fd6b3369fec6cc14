"""
zinniaturn, a load balancer for callers that are programs.

It picks the backend server for each request while server load shifts within
milliseconds, and it says truthfully what became of every request.
"""

__all__ = ('VERSION',)

VERSION = '0.1.0'
