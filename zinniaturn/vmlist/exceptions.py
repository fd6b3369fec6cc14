"""Errors of the VM list's port."""

__all__ = ('VmListError',)

from zinniaturn.errors import CodedError


class VmListError(CodedError):
    """The VM list did not answer or its answer cannot be read."""

    code = 'vm-list-unavailable'
