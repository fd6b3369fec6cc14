"""Errors of an exchange over HTTP/1.1."""

__all__ = ('BadMessageError', 'ConnectFailedError', 'ExchangeBrokenError')

from zinniaturn.errors import CodedError


class ConnectFailedError(CodedError):
    """No connection could be opened, so nothing was sent."""

    code = 'connect-failed'


class ExchangeBrokenError(CodedError):
    """The connection ended before the whole answer was read."""

    code = 'exchange-broken'


class BadMessageError(ExchangeBrokenError):
    """The bytes that came are no answer to the request that was sent."""

    code = 'bad-message'
