"""Errors of the fleet state, its store and the messages between VMs."""

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
    """A document in the store cannot be decoded."""

    code = 'fleet-document-invalid'


class PeerMessageError(CodedError):
    """A message from another VM cannot be decoded."""

    code = 'fleet-message-invalid'
