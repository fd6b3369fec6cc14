"""
The adapter to the users' platform: its wire names, formats and calls.

Everything that the platform names in its own way is decoded here, once, into
the types of the other packages. This package makes no decisions.
"""

__all__ = ()
