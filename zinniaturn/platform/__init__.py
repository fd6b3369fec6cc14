"""
The adapter to the users' platform: names, formats and calls.

Everything that the platform calls by a name of its own is decoded here, once,
into the product's types. Nothing here decides anything.
"""

__all__ = ()
