"""
Tells a server that has ended from a connection that was lost.

Right after a connection to a server broke, one attempt to connect again shows
which it was: nobody listens where a process has ended, while a server that runs
takes the connection.
"""

__all__ = ('ServerState', 'check_server')

import enum

from zinniaturn.http1.connections import Address, ConnectionPool
from zinniaturn.http1.exceptions import ConnectFailedError

_CHECK_TIMEOUT_SECONDS = 0.1


class ServerState(enum.Enum):
    """
    What an attempt to connect has shown.

    ``UNKNOWN`` is a server without a response, or a path that is lost.
    """

    ENDED = 'ended'
    RUNS = 'runs'
    UNKNOWN = 'unknown'


async def check_server(
    connections: ConnectionPool, address: Address
) -> ServerState:
    """Return whether a server's process has ended."""
    try:
        connection = await connections.connect(address, _CHECK_TIMEOUT_SECONDS)
    except ConnectFailedError as error:
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return ServerState.ENDED if is_refused else ServerState.UNKNOWN
    connections.keep_idle(address, connection)
    return ServerState.RUNS
