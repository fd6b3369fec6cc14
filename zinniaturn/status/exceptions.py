"""Exceptions for requests to the addresses of processes."""

__all__ = ('EndpointMissingError', 'StatusError', 'VmNotReadyError')

from zinniaturn.errors import CodedError


class StatusError(CodedError):
    """A process did not answer at its address, or not as expected."""

    code = 'entry-unavailable'


class VmNotReadyError(StatusError):
    """A gateway process has no configuration yet."""

    code = 'vm-not-ready'


class EndpointMissingError(StatusError):
    """A gateway process is of a build without the endpoint."""

    code = 'endpoint-missing'
