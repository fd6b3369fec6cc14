"""
What a connection must not carry any more, since an answer may come again.

A server may send a response again, late, where the next one is expected. Where
the copy and the next request bear the same id, or the copy bears none, nothing
tells it from the next request's own response. So a connection that has carried
a rejection of a request never carries that request again, and one that has
carried a rejection without an id carries no more requests with ids.
"""

__all__ = ('CarriedRejections',)

from dataclasses import dataclass, field

_MOST_IDS = 256


@dataclass(slots=True)
class CarriedRejections:
    """
    The rejections that one connection has carried.

    ``request_ids`` are those of the rejected requests, and ``has_unnamed`` is
    set by a rejection that bears no id.
    """

    request_ids: set[bytes] = field(default_factory=set)
    has_unnamed: bool = False

    @property
    def is_full(self) -> bool:
        """Return whether no more ids are kept; none may be forgotten."""
        return len(self.request_ids) >= _MOST_IDS

    def allow(self, request_id: bytes | None) -> bool:
        """
        Return whether a request may be sent on the connection.

        ``request_id`` is ``None`` for a request that has no id.

        >>> rejections = CarriedRejections()
        >>> rejections.note(b'a')
        >>> rejections.allow(b'a'), rejections.allow(b'b')
        (False, True)
        """
        if request_id is None:
            return True
        return not (self.has_unnamed or request_id in self.request_ids)

    def note(self, request_id: bytes | None) -> None:
        """Note a request whose response was not the last word on it."""
        if request_id is not None:
            self.request_ids.add(request_id)
