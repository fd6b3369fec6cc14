"""
What a VM makes of a crash that another VM tells of.

A VM whose own path is broken may take servers for ended that run. So a few
others look for themselves, and one that has had a response since contradicts
it.
"""

__all__ = ('SHORTEST_RESTART_SECONDS', 'is_contradicted', 'needs_witness')

from zinniaturn.quarantine.crash_record import CrashRecord

# VMs of the whole fleet that look for themselves.
_CONFIRMING_VMS = 4
# A response that was on its way as the process ended arrives within this time.
_LATE_RESPONSE_SECONDS = 0.05
# No server is back sooner after a crash.
SHORTEST_RESTART_SECONDS = 1.0


def needs_witness(
    record: CrashRecord, vm: str, other_vms: int, chance: float
) -> bool:
    """
    Return whether a VM should look whether the process has ended.

    ``chance`` is a random number from 0 to 1, by which about four VMs of a
    fleet are chosen.
    """
    if record.is_refuted or record.has_witnesses or vm in record.witnesses:
        return False
    return chance * max(1, other_vms) < _CONFIRMING_VMS


def is_contradicted(record: CrashRecord, responded_at: float) -> bool:
    """
    Return whether the process has responded after it is said to have ended.

    Later responses may be those of the server's next process.
    """
    seconds = responded_at - record.ended_at
    return _LATE_RESPONSE_SECONDS < seconds < SHORTEST_RESTART_SECONDS
