"""The ways in which the stand-ins misbehave."""

__all__ = ('ServerFault', 'StoreFault')

import enum


class StoreFault(enum.Enum):
    """What the store does to a call instead of serving it."""

    BUSY = 'busy'
    TOO_MANY = 'too-many'
    RESET = 'reset'
    SILENT = 'silent'
    # The call is carried out, but its reply is lost.
    LOST = 'lost'


class ServerFault(enum.Enum):
    """What a server does to one request."""

    # Refused without having run.
    SHED = 'shed'
    # Run, and never answered.
    MUTE = 'mute'
    # Run, and the connection is reset instead of an answer.
    LOST = 'lost'
    # Answered with a failure of the server's own.
    ERROR = 'error'
    # A second answer follows at once.
    EXTRA = 'extra'
    # An answer to an earlier request comes before the right one.
    STALE = 'stale'
    # The body has no length and ends with the connection.
    UNFRAMED = 'unframed'
    # As above, but the connection is reset halfway.
    UNFRAMED_CUT = 'unframed-cut'
    # Fewer bytes than the length says, then the connection ends.
    SHORT = 'short'
    # No answer in the protocol.
    GIBBERISH = 'gibberish'
    # A success without the server's mark.
    UNSIGNED = 'unsigned'
    # A success whose body is encoded though nobody asked for it.
    ENCODED = 'encoded'
    # Another server has the address now.
    REPLACED = 'replaced'
