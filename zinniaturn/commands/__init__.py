"""The command line."""

__all__ = ('main',)

from zinniaturn.commands.main import main
