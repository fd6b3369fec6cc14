"""
Requests from operators' commands to the entries.

They read the status and the tables of entries and send them new revisions.
"""

__all__ = (
    'EntryStatus',
    'FleetStatus',
    'StatusError',
    'find_admins',
    'find_members',
    'offer_to_entries',
    'read_entry_tables',
    'read_fleet',
    'wait_in_force',
)

from zinniaturn.status.client import read_entry_tables
from zinniaturn.status.exceptions import StatusError
from zinniaturn.status.fleet import (
    FleetStatus,
    find_admins,
    read_fleet,
    wait_in_force,
)
from zinniaturn.status.handover import find_members, offer_to_entries
from zinniaturn.status.models import EntryStatus
