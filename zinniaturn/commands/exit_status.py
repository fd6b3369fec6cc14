"""
Maps errors to the exit statuses of the command line.

``docs/OPERATORS.md`` lists the statuses; scripts may rely on them.
"""

__all__ = ('ExitStatus', 'exit_status_of')

import enum
from types import MappingProxyType

from zinniaturn.errors import CodedError


class ExitStatus(enum.IntEnum):
    """The exit statuses of commands."""

    DONE = 0
    CHECK_FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    CUT_OFF = 6
    NOT_READY = 7
    UNSUPPORTED = 8
    INTERNAL = 70


_STATUS_BY_CODE = MappingProxyType(
    {
        'setting-invalid': ExitStatus.USAGE,
        'settings-file-invalid': ExitStatus.USAGE,
        'change-unknown': ExitStatus.UNKNOWN,
        'tables-unavailable': ExitStatus.UNAVAILABLE,
        'store-unavailable': ExitStatus.UNAVAILABLE,
        'store-busy': ExitStatus.UNAVAILABLE,
        'entry-unavailable': ExitStatus.UNAVAILABLE,
        'listen-failed': ExitStatus.UNAVAILABLE,
        'vm-not-ready': ExitStatus.NOT_READY,
        'endpoint-missing': ExitStatus.UNSUPPORTED,
    }
)


def exit_status_of(error: CodedError) -> ExitStatus:
    """
    Return the exit status for an error that ended a command.

    >>> exit_status_of(CodedError('no', 'change-unknown')).name
    'UNKNOWN'
    """
    return _STATUS_BY_CODE.get(error.code, ExitStatus.REFUSED)
