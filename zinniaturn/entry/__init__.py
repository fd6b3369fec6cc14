"""The load balancer process that runs on an entry VM."""

__all__ = ('Entry', 'EntryError', 'run_entry')

from zinniaturn.entry.exceptions import EntryError
from zinniaturn.entry.process import Entry, run_entry
