"""
Passing of requests from a VM without a path to their servers to one with it.

A request is passed on once at most. The VM that takes it treats it like one of
its own callers: the route's kind, the attempts that are left, limits, leaving
servers and the budgets hold as if it had come there.
"""
