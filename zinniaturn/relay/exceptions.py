"""Errors of requests that are passed between VMs."""

__all__ = ('RelayMessageError',)

from zinniaturn.errors import CodedError


class RelayMessageError(CodedError):
    """A passed on request or its reply cannot be decoded."""

    code = 'relay-message-invalid'
