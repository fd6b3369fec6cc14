"""Errors of what a VM knows of the fleet."""

__all__ = (
    'BadDocumentError',
    'FleetStoreError',
    'PeerMessageError',
)

from zinniaturn.errors import CodedError


class FleetStoreError(CodedError):
    """The store gave no usable reply."""

    code = 'fleet-store-unavailable'


class BadDocumentError(CodedError):
    """What lies in the store cannot be read."""

    code = 'fleet-document-invalid'


class PeerMessageError(CodedError):
    """Another VM sent something that cannot be read."""

    code = 'fleet-message-invalid'
