"""
Grants permits for the requests to servers that name a limit.

Each server with a limit belongs to one VM, and all others ask that VM for
permits, one for each request. So the fleet keeps to the limit whichever VMs the
callers choose, and the whole of it can be used by any of them. The load that
this answers: a server that takes fewer requests a second than there are VMs,
while the callers move from some VMs to others.
"""

__all__ = ('ColdTerms', 'Grant', 'PermitGrantor', 'PermitRequest')

import math
from collections import OrderedDict
from dataclasses import dataclass, field

# Limits below this one are raised to it: a server that gets no request at all
# could not say that its limit has ended.
_LOWEST_LIMIT_PER_SECOND = 0.2
# A bucket holds one token and those of this time.
_BUCKET_SECONDS = 0.2
_MOST_BUCKETS = 4096
# A limit that nobody has heard for this time may have changed.
_CONFIRMED_SECONDS = 1.0
# One less than the requests that a server takes beyond its limit in any 4 s.
_MOST_UNCONFIRMED = 4
_CONFIRMATION_WAIT_SECONDS = 0.1
_MOST_REPLIES_KEPT = 64


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """
    What a cold server takes at the moment.

    ``limit`` is in requests per second, and ``part_depth`` the content of all
    buckets of those parts of the fleet that have no majority.
    """

    limit: float
    part_depth: float


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """
    A VM's request for ``count`` permits for a server.

    ``limit`` is the server's limit per second as the VM heard it at
    ``said_at``. A request that is repeated has the same ``sequence``. With a
    ``depth`` it is about a tenant's allowance, which ``server`` names, and
    ``started_ms`` is the version of the operators' document with the limit.
    With ``cold`` terms the lower limit holds, and ``limit`` is infinite if the
    server states none.
    """

    vm: str
    sequence: int
    server: str
    started_ms: int
    count: int
    limit: float
    said_at: float
    depth: float = 0
    cold: ColdTerms | None = None


@dataclass(frozen=True, slots=True)
class Grant:
    """
    The permits granted, at most as many as were requested.

    If there are none, the next is expected after ``wait_seconds``.
    """

    count: int
    wait_seconds: float = 0


@dataclass(slots=True)
class _Bucket:
    """
    The tokens of one server, which start at none.

    The VM that the server belonged to before may have granted a bucket's
    content a moment ago. ``replies`` are the last grant to each VM, by sequence
    number, for requests that are repeated because a reply was lost.
    ``granted_unconfirmed`` counts the permits since a limit that nobody has
    heard lately was last confirmed. ``cold`` are the terms of the last request,
    ``None`` if it isn't cold.
    """

    started_ms: int
    limit: float
    said_at: float
    updated_at: float
    tokens: float = 0
    granted_unconfirmed: int = 0
    cold: ColdTerms | None = None
    replies: 'OrderedDict[str, tuple[int, Grant]]' = field(
        default_factory=OrderedDict
    )

    def refill(self, share: float, now: float) -> None:
        """Add the tokens since the last call at ``share`` of the limit."""
        added = (now - self.updated_at) * self.rate(share)
        self.tokens = min(self._most(share), self.tokens + added)
        self.updated_at = now

    def rate(self, share: float) -> float:
        """Return the tokens per second."""
        limit = self.limit if self.cold is None else self.cold.limit
        limit = max(_LOWEST_LIMIT_PER_SECOND, min(limit, self.limit))
        return share * limit

    def _most(self, share: float) -> float:
        """Return the tokens of a full bucket."""
        if self.cold is not None and share < 1:
            return share * self.cold.part_depth
        return 1 + self.rate(1) * _BUCKET_SECONDS

    def take(self, count: int, share: float, now: float) -> Grant:
        """
        Take up to ``count`` tokens.

        While nobody used the server its limit may have fallen. So a few permits
        have to do until a response has named it again.
        """
        granted = min(count, int(self.tokens))
        is_cold = self.cold is not None and self.cold.limit <= self.limit
        is_old = not is_cold and now - self.said_at > _CONFIRMED_SECONDS
        if is_old:
            most = max(1, int(_MOST_UNCONFIRMED * share))
            granted = min(granted, max(0, most - self.granted_unconfirmed))
        if granted > 0:
            self.tokens -= granted
            self.granted_unconfirmed += granted * is_old
            return Grant(granted)
        if is_old and self.tokens >= 1:
            return Grant(0, _CONFIRMATION_WAIT_SECONDS)
        return Grant(0, (1 - self.tokens) / self.rate(share))

    def confirm(self, limit: float, said_at: float) -> None:
        """Apply a limit that was heard later than the present one."""
        self.limit = limit
        self.said_at = said_at
        self.granted_unconfirmed = 0

    def keep_reply(self, vm: str, sequence: int, grant: Grant) -> None:
        """Keep a reply; the oldest is dropped when there are too many."""
        self.replies[vm] = sequence, grant
        self.replies.move_to_end(vm)
        if len(self.replies) > _MOST_REPLIES_KEPT:
            self.replies.popitem(last=False)


@dataclass(slots=True)
class PermitGrantor:
    """
    The token buckets of the servers that belong to this VM.

    Each request takes the same time, whatever the number of VMs and servers.
    """

    buckets: 'OrderedDict[str, _Bucket]' = field(default_factory=OrderedDict)

    def grant(self, request: PermitRequest, share: float, now: float) -> Grant:
        """
        Return the permits granted for a request.

        ``share`` is the part of each limit that this VM may grant.
        """
        bucket = self._bucket(request, now)
        kept = bucket.replies.get(request.vm)
        if kept is not None and kept[0] == request.sequence:
            return kept[1]
        bucket.cold = request.cold
        bucket.refill(share, now)
        grant = bucket.take(request.count, share, now)
        bucket.keep_reply(request.vm, request.sequence, grant)
        return grant

    def _bucket(self, request: PermitRequest, now: float) -> _Bucket:
        """Return the server's bucket with the newest limit that is known."""
        bucket = self.buckets.get(request.server)
        if bucket is None or bucket.started_ms < request.started_ms:
            bucket = _Bucket(
                request.started_ms,
                request.limit,
                request.said_at,
                now,
            )
            self.buckets[request.server] = bucket
            if len(self.buckets) > _MOST_BUCKETS:
                self.buckets.popitem(last=False)
        self.buckets.move_to_end(request.server)
        is_newer = request.said_at > bucket.said_at
        is_unlimited = request.cold is None and math.isinf(bucket.limit)
        if is_newer or is_unlimited:
            bucket.confirm(request.limit, request.said_at)
        return bucket
