"""Exceptions of the VM list."""

__all__ = ('VmListError',)

from zinniaturn.errors import CodedError


class VmListError(CodedError):
    """The VM list did not answer or its response cannot be decoded."""

    code = 'vm-list-unavailable'
