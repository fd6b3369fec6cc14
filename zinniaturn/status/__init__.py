"""What the entries say of themselves, asked by an operator's command."""

__all__ = (
    'EntryStatus',
    'FleetStatus',
    'StatusError',
    'find_admins',
    'find_members',
    'offer_to_entries',
    'read_fleet',
    'read_tables_of',
    'wait_in_force',
)

from zinniaturn.status.client import read_tables_of
from zinniaturn.status.exceptions import StatusError
from zinniaturn.status.fleet import (
    FleetStatus,
    find_admins,
    read_fleet,
    wait_in_force,
)
from zinniaturn.status.handover import find_members, offer_to_entries
from zinniaturn.status.models import EntryStatus
