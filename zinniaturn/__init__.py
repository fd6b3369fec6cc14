"""
zinniaturn, a load balancer for callers that are programs.

It chooses a backend server for each request, with load information that is
milliseconds old, and reports the true outcome of every request.
"""

__all__ = ('VERSION',)

VERSION = '0.1.0'
