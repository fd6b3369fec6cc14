"""Whether this VM may send requests to one backend server at present."""

__all__ = ('Admission', 'ResponseKind', 'ServerNotice', 'Withholding')

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from zinniaturn.admission.permits import PERMIT_LIFETIME_SECONDS, PermitBook
from zinniaturn.admission.statement import ServerStatement
from zinniaturn.admission.warm_up import (
    COLD_PERMIT_LIFETIME_SECONDS,
    HAND_OVER_SECONDS,
    WarmUpLimit,
)
from zinniaturn.clock import Clock
from zinniaturn.placing.rate_limit import RateLimit

_NEVER = float('-inf')
_RENEWAL_SECONDS = 5.0
_LEAVING_CHECK_SECONDS = 3.0
# What a VM hears of the end of a warm-up differs by the time on the way.
_SAME_WARM_UP_SECONDS = 0.25
# A warm-up that is prolonged all the time is passed on once in this time.
_REPORTED_WARM_UP_SECONDS = 1.0


class ResponseKind(enum.Enum):
    """
    What a response answers.

    Only an answer to a request that ran says by its silence that a limit has
    ended. A rejection says that of nothing, and a probe's response is one if
    the server is not healthy.
    """

    REQUEST = 'request'
    REJECTION = 'rejection'
    PROBE = 'probe'


class Withholding(enum.Enum):
    """Why no request may be sent to a server at present."""

    EVACUATED = 'evacuated'
    LEAVING = 'leaving'
    PAUSE = 'pause'
    LIMIT = 'limit'


# What ends if a response of a kind doesn't mention it.
_ENDED_BY_SILENCE: Mapping[ResponseKind, frozenset[str]] = MappingProxyType(
    {
        ResponseKind.REQUEST: frozenset(('limit', 'is_leaving')),
        ResponseKind.REJECTION: frozenset(),
        ResponseKind.PROBE: frozenset(('is_leaving',)),
    }
)


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """
    The limit and the leaving of a server, as the whole fleet has to know them.

    ``started_ms`` is the Unix time of the server's start, ``limit`` the rate of
    requests per second that it takes from all VMs together. ``said_at`` is the
    boot clock's time at which it said so, and ``source`` the VM that heard it,
    '' for this one. A ``depth`` is that of the bucket of a tenant's allowance,
    which is requested like a server's.
    """

    server: str
    started_ms: int
    limit: float | None = None
    is_leaving: bool = False
    said_at: float = _NEVER
    source: str = ''
    depth: float = 0

    @property
    def is_active(self) -> bool:
        """Return whether requests to the server are restricted."""
        return self.limit is not None or self.is_leaving

    @property
    def is_heard(self) -> bool:
        """Return whether the server has said anything."""
        return self.said_at > _NEVER

    def says_same(self, other: 'ServerNotice') -> bool:
        """Return whether two notices tell the same, whenever it was said."""
        return (self.limit, self.is_leaving) == (other.limit, other.is_leaving)


@dataclass(slots=True)
class Admission:
    """
    What a server has said of the requests that it wants; see `ServerNotice`.

    ``clock`` counts the time in which the VM is suspended, too.
    ``paused_until`` is the end of the pause that the server asked this VM for.
    ``is_evacuated`` is set while the server's data centre is evacuated.
    ``warm_up`` is the limit while the server is cold, ``None`` where its pool
    or the settings name none, and ``cold_until`` the end of its warm-up, the
    latest that anyone has told; ``cold_reported`` was passed on last.
    ``permits`` are those for a server with a limit or a cold one. ``renewals``
    limits how often an unchanged notice is passed on, and ``checks`` how often
    a leaving server is probed.
    """

    clock: Clock
    notice: ServerNotice
    paused_until: float = _NEVER
    is_evacuated: bool = False
    warm_up: WarmUpLimit | None = None
    cold_until: float = _NEVER
    cold_reported: float = _NEVER
    permits: PermitBook = field(default_factory=PermitBook)
    renewals: RateLimit = field(
        default_factory=lambda: RateLimit(_RENEWAL_SECONDS)
    )
    checks: RateLimit = field(
        default_factory=lambda: RateLimit(_LEAVING_CHECK_SECONDS)
    )

    @property
    def is_limited(self) -> bool:
        """Return whether each request needs a permit."""
        return self.notice.limit is not None or self.is_cold

    @property
    def is_cold(self) -> bool:
        """Return whether the server is cold or was a moment ago."""
        return self.cold_limit() is not None

    @property
    def is_active(self) -> bool:
        """Return whether requests to the server are restricted."""
        return self.notice.is_active or self.is_cold

    def cold_limit(self) -> float | None:
        """Return the requests per second by its warm-up, if it is cold."""
        if self.warm_up is None or self.cold_until == _NEVER:
            return None
        return self.warm_up.rate(self.clock.monotonic() - self.cold_until)

    def limit(self) -> float | None:
        """Return the lower one of the stated limit and the warm-up's."""
        cold = self.cold_limit()
        stated = self.notice.limit
        if cold is None or stated is None:
            return stated if cold is None else cold
        return min(cold, stated)

    def note_cold(self, until: float) -> bool:
        """
        Note that the server is cold until a time; return whether to pass it on.

        What tells of a longer warm-up holds until its time is over, so that a
        VM that has heard too little doesn't send too much. Permits that were
        granted before are dropped, as they may be more than a cold server
        takes.
        """
        is_longer = until > self.cold_until + _SAME_WARM_UP_SECONDS
        if not is_longer or until <= self.clock.monotonic():
            return False
        if not self.is_cold:
            self.permits.expiries.clear()
        self.cold_until = until
        if until < self.cold_reported + _REPORTED_WARM_UP_SECONDS:
            return False
        self.cold_reported = until
        return self.warm_up is not None

    def cold_seconds(self) -> float:
        """Return the rest of a warm-up that limits requests, 0 for none."""
        if not self.is_cold:
            return 0
        return max(0, self.cold_until - self.clock.monotonic())

    def hand_over_seconds(self) -> float:
        """Return the time until the warm-up limits no more, 0 for now."""
        if not self.is_cold:
            return 0
        return self.cold_until + HAND_OVER_SECONDS - self.clock.monotonic()

    def note_hand_over(self, seconds: float) -> bool:
        """Note that the warm-up limits for a time yet; see `note_cold`."""
        now = self.clock.monotonic()
        return seconds > 0 and self.note_cold(now + seconds - HAND_OVER_SECONDS)

    def add_permits(self, count: int, requested_at: float) -> None:
        """Add permits, which live for less time if the server is cold."""
        lifetime = PERMIT_LIFETIME_SECONDS
        if self.is_cold:
            lifetime = COLD_PERMIT_LIFETIME_SECONDS
        self.permits.add(count, requested_at, lifetime)

    def withholding(self) -> Withholding | None:
        """Return why no request may be sent now, ``None`` if one may."""
        if self.is_evacuated:
            return Withholding.EVACUATED
        if self.notice.is_leaving:
            return Withholding.LEAVING
        is_paused = self.paused_until > _NEVER
        if is_paused and self.paused_until > self.clock.monotonic():
            return Withholding.PAUSE
        if self.is_limited and not self.permits.held(self.clock.monotonic()):
            return Withholding.LIMIT
        return None

    def take(self) -> float | None:
        """
        Take the permission for one request.

        Returns the time until which the request may be sent, ``None`` if none
        may be sent.
        """
        if self.withholding() is not None:
            return None
        if self.is_limited:
            return self.permits.take(self.clock.monotonic())
        return math.inf

    def learn(
        self,
        statement: ServerStatement,
        kind: ResponseKind,
        sent_at: float,
    ) -> bool:
        """
        Apply a genuine response; return whether anything has changed.

        ``sent_at`` is when its request was sent. A response whose request was
        sent before a limit or the leaving was known may be older than these,
        so that its silence doesn't end them.
        """
        now = self.clock.monotonic()
        was_paused_until = self.paused_until
        is_cooled = statement.warm_up_seconds > 0 and self.note_cold(
            now + statement.warm_up_seconds
        )
        if statement.pause_seconds:
            self.paused_until = max(
                self.paused_until, now + statement.pause_seconds
            )
        ended: frozenset[str] = frozenset()
        if sent_at >= self.notice.said_at:
            silent = _ENDED_BY_SILENCE[kind]
            ended = silent.difference(statement.unreadable)
        heard = self._merge(statement, ended, now)
        changed = not heard.says_same(self.notice)
        if changed or statement.limit is not None or statement.is_leaving:
            self.notice = heard
        return changed or is_cooled or self.paused_until > was_paused_until

    def adopt(self, notice: ServerNotice) -> bool:
        """Take over another VM's notice; return whether it tells more."""
        is_same_process = notice.started_ms == self.notice.started_ms
        if not is_same_process or notice.said_at <= self.notice.said_at:
            return False
        changed = not notice.says_same(self.notice)
        self.notice = notice
        return changed

    def _merge(
        self, statement: ServerStatement, ended: frozenset[str], now: float
    ) -> ServerNotice:
        """Return the notice after a response that ends ``ended``."""
        held = self.notice
        limit = statement.limit
        if limit is None and 'limit' not in ended:
            limit = held.limit
        is_leaving = statement.is_leaving
        if 'is_leaving' not in ended:
            is_leaving = is_leaving or held.is_leaving
        return ServerNotice(
            held.server, held.started_ms, limit, is_leaving, now
        )
