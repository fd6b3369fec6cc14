"""
The latency that one entry adds and the requests it serves per core.

An entry, a bare relay and a direct call are measured in turns in one run, so
that whatever else runs on the machine meets all three.
"""
