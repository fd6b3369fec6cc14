"""
Requests that end the servers that run them, and what to do with them.

Everything here decides without a network. A request is known by its key, which
is the same for each of its copies; see `zinniaturn.quarantine.request_key`.
"""
