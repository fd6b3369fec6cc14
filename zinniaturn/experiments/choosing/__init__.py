"""Experiments on choosing the backend server."""

__all__ = ()
