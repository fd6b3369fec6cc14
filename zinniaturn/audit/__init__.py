"""The audit trail: who changed what, when, from which revision and why."""

__all__ = (
    'diff_revisions',
    'list_records',
    'read_record',
    'roll_back',
)

from zinniaturn.audit.rollback import roll_back
from zinniaturn.audit.trail import diff_revisions, list_records, read_record
