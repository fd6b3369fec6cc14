"""Experiments that compare policies for choosing the backend server."""

__all__ = ()
