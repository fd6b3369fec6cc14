"""
Soak test of the outcomes that callers get: not run, run or unknown.

Callers that retry send requests to real entry processes while faults drawn from
a seed are injected. The backend servers count every execution, and the body of
every response identifies its request.
"""

__all__ = ()
