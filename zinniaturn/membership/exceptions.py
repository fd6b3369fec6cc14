"""Exceptions of the membership."""

__all__ = ('DirectoryError', 'LeaseLostError', 'MembershipError')

from zinniaturn.errors import CodedError


class MembershipError(CodedError):
    """The membership could not be read or updated."""

    code = 'membership-failed'


class LeaseLostError(MembershipError):
    """The lease may have expired, so its holder must not act."""

    code = 'lease-lost'


class DirectoryError(MembershipError):
    """A directory of members in the store cannot be decoded."""

    code = 'directory-invalid'
