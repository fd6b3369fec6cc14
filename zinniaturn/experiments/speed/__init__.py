"""
Measure the latency that an entry adds and the requests it serves per core.

An entry, a minimal relay and direct calls are measured alternately in one run,
so that other load on the machine affects all three alike.
"""
