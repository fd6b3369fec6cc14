"""Provides the command line of zinniaturn."""

__all__ = ('main',)

from zinniaturn.commands.main import main
