"""
Grants permits of tenants' allowances from token buckets.

A bucket stands for the whole fleet's: what its owner before can have granted is
counted as if this one had granted it. So a new owner's bucket is taken for
empty at the moment until which another VM may have granted, and the rest of
that VM's tokens is added where it hands them over. An owner that knows only a
part of the fleet to be alive grants that part of the rate and the depth, since
the others may have an owner of their own.

Work: constant for each request; when VMs come or go, one step for each bucket,
of which there are 4096 at most.
"""

__all__ = ('START_TOKENS', 'AllowanceGrantor', 'AllowanceRequest')

import math
from collections import OrderedDict
from dataclasses import dataclass, field

# What a new owner may grant at once; the depth of buckets leaves room for it.
START_TOKENS = 4.0
_START_SHARE = 0.1
# The shortest window of an allowance with the life of permits.
_WINDOW_SECONDS = 5.8
_MOST_BUCKETS = 4096
_MOST_REPLIES_KEPT = 64
_LONGEST_WAIT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class AllowanceRequest:
    """
    A VM's request for ``count`` permits of the allowance ``name``.

    ``per_second`` and ``depth`` are its bucket by version ``version`` of the
    document and by the settings that the VM read at ``said_at``.
    """

    vm: str
    sequence: int
    name: str
    version: int
    count: int
    per_second: float
    depth: float
    said_at: float


@dataclass(slots=True)
class _Bucket:
    """The tokens of one allowance; ``share`` is the part that is granted."""

    version: int
    said_at: float
    per_second: float
    depth: float
    share: float
    updated_at: float
    tokens: float = 0
    replies: 'OrderedDict[str, tuple[int, int, float]]' = field(
        default_factory=OrderedDict
    )

    @property
    def most(self) -> float:
        """Return how many tokens are kept; one at least, to be usable."""
        return max(1, self.depth * self.share)

    @property
    def rate(self) -> float:
        """
        Return the tokens per second.

        A part of the fleet whose part of the depth is below one token makes up
        for it by its rate.
        """
        excess = self.most - self.depth * self.share
        rate = self.per_second * self.share - excess / _WINDOW_SECONDS
        return max(0, rate)

    def refill(self, share: float, now: float) -> None:
        """Add the tokens since the last call; grant ``share`` from now on."""
        self.tokens += (now - self.updated_at) * self.rate
        self.updated_at = now
        self.share = share
        self.tokens = min(self.most, self.tokens)

    def follow(self, request: AllowanceRequest) -> None:
        """
        Apply a later version of the allowance; keep the tokens.

        A VM whose settings have changed names the same version again, with
        another bucket and a later time.
        """
        said = request.version, request.said_at
        if said > (self.version, self.said_at):
            self.version = request.version
            self.said_at = request.said_at
            self.per_second = request.per_second
            self.depth = request.depth

    def take(self, count: int) -> tuple[int, float]:
        """Take tokens; return their number, or 0 and the seconds to wait."""
        granted = min(count, max(0, int(self.tokens)))
        self.tokens -= granted
        if granted or not self.rate:
            return granted, _LONGEST_WAIT_SECONDS
        wait = (1 - self.tokens) / self.rate
        return 0, min(_LONGEST_WAIT_SECONDS, wait)

    def start(self, since: float, now: float) -> None:
        """Begin with what another owner leaves that granted until ``since``."""
        content = self.per_second * _WINDOW_SECONDS + self.depth
        tokens = min(START_TOKENS, content * _START_SHARE) * self.share
        tokens += self.rate * (now - since)
        self.tokens = min(self.most, tokens)


@dataclass(slots=True)
class AllowanceGrantor:
    """The buckets of the allowances that belong to this VM, by name."""

    buckets: 'OrderedDict[str, _Bucket]' = field(default_factory=OrderedDict)

    def grant(
        self,
        request: AllowanceRequest,
        share: float,
        now: float,
        since: float,
    ) -> tuple[int, float]:
        """
        Return the number of permits granted, and the seconds until the next.

        ``share`` is the part of the allowance that this VM may grant. Another
        VM may have granted until ``since``, which may be in the future.
        """
        bucket = self._bucket(request, share, now, since)
        kept = bucket.replies.get(request.vm)
        if kept is not None and kept[0] == request.sequence:
            return kept[1:]
        bucket.refill(share, now)
        grant = bucket.take(request.count)
        bucket.replies[request.vm] = request.sequence, *grant
        bucket.replies.move_to_end(request.vm)
        if len(bucket.replies) > _MOST_REPLIES_KEPT:
            bucket.replies.popitem(last=False)
        return grant

    def take_over(
        self,
        request: AllowanceRequest,
        tokens: float,
        share: float,
        now: float,
        since: float,
    ) -> None:
        """Add the tokens that the owner before has handed over."""
        bucket = self._bucket(request, share, now, since)
        bucket.refill(share, now)
        bucket.tokens = min(bucket.most, bucket.tokens + max(0, tokens))

    def hand_over(
        self, name: str, now: float
    ) -> tuple[AllowanceRequest, float] | None:
        """Drop a bucket; return what its next owner is told, and its tokens."""
        bucket = self.buckets.pop(name)
        bucket.refill(bucket.share, now)
        if bucket.tokens < 1:
            return None
        told = AllowanceRequest(
            '',
            0,
            name,
            bucket.version,
            0,
            bucket.per_second,
            bucket.depth,
            bucket.said_at,
        )
        return told, math.floor(bucket.tokens)

    def set_share(self, share: float, now: float) -> None:
        """Grant another part of all allowances from now on."""
        for bucket in self.buckets.values():
            if bucket.share != share:
                bucket.refill(share, now)

    def _bucket(
        self,
        request: AllowanceRequest,
        share: float,
        now: float,
        since: float,
    ) -> _Bucket:
        """Return an allowance's bucket, a new one if there is none."""
        bucket = self.buckets.get(request.name)
        if bucket is None:
            bucket = _Bucket(
                request.version,
                request.said_at,
                request.per_second,
                request.depth,
                share,
                now,
            )
            bucket.start(since, now)
            self.buckets[request.name] = bucket
            if len(self.buckets) > _MOST_BUCKETS:
                self.buckets.popitem(last=False)
        self.buckets.move_to_end(request.name)
        bucket.follow(request)
        return bucket
