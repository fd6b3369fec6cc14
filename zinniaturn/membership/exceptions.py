"""Errors of the membership."""

__all__ = ('DirectoryError', 'LeaseLostError', 'MembershipError')

from zinniaturn.errors import CodedError


class MembershipError(CodedError):
    """The membership cannot be kept."""

    code = 'membership-failed'


class LeaseLostError(MembershipError):
    """The lease may have lapsed, so its holder must not act."""

    code = 'lease-lost'


class DirectoryError(MembershipError):
    """What the store holds of the members cannot be read."""

    code = 'directory-invalid'
