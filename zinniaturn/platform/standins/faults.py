"""The faults that the stand-ins can inject."""

__all__ = ('ServerFault', 'StoreFault')

import enum


class StoreFault(enum.Enum):
    """A fault that the store applies to a call."""

    BUSY = 'busy'
    TOO_MANY = 'too-many'
    RESET = 'reset'
    SILENT = 'silent'
    # The call is carried out, but no reply is sent.
    LOST = 'lost'


class ServerFault(enum.Enum):
    """A fault that a server applies to one request."""

    # Rejected without being run.
    SHED = 'shed'
    # Run, and no response is ever sent.
    MUTE = 'mute'
    # Run, and the connection is reset instead of a response.
    LOST = 'lost'
    # Run, and answered with 500.
    ERROR = 'error'
    # An extra response follows the right one at once.
    EXTRA = 'extra'
    # A response to an earlier request precedes the right one.
    STALE = 'stale'
    # The body has no length and ends when the connection is closed.
    UNFRAMED = 'unframed'
    # Like UNFRAMED, but the connection is reset halfway through the body.
    UNFRAMED_CUT = 'unframed-cut'
    # The connection is closed before as many bytes as the length states.
    SHORT = 'short'
    # The connection is closed in the middle of the head, after one of its
    # lines, or after an interim response.
    HEAD_CUT = 'head-cut'
    LINE_CUT = 'line-cut'
    INTERIM_CUT = 'interim-cut'
    # Bytes that are not an HTTP response.
    GIBBERISH = 'gibberish'
    # A success without the server's signature.
    UNSIGNED = 'unsigned'
    # A success that is marked as encoded though the request does not allow it.
    ENCODED = 'encoded'
    # Run, and answered with 503, 429 or 408 without a word that it was not run.
    FALSE_UNAVAILABLE = 'false-503'
    FALSE_TOO_MANY = 'false-429'
    FALSE_TIMEOUT = 'false-408'
    # A response whose head, body or interim responses never end.
    ENDLESS_HEAD = 'endless-head'
    ENDLESS_LINE = 'endless-line'
    ENDLESS_INTERIM = 'endless-interim'
    ENDLESS_BODY = 'endless-body'
    # A body without an end that comes at one byte a second.
    TRICKLED_BODY = 'trickled-body'
    # Another server has taken over the address.
    REPLACED = 'replaced'
