"""What the entries say of themselves, asked by an operator's command."""

__all__ = (
    'EntryStatus',
    'FleetStatus',
    'StatusError',
    'find_admins',
    'find_members',
    'hand_over',
    'read_fleet',
    'read_tables_of',
    'wait_in_force',
)

from zinniaturn.status.exceptions import StatusError
from zinniaturn.status.fleet import (
    FleetStatus,
    find_admins,
    read_fleet,
    wait_in_force,
)
from zinniaturn.status.handing import find_members, hand_over
from zinniaturn.status.models import EntryStatus
from zinniaturn.status.reading import read_tables_of
