"""Whether this VM may send requests to one backend server at present."""

__all__ = ('Admission', 'ResponseKind', 'ServerNotice')

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from zinniaturn.admission.statement import ServerStatement

_NEVER = float('-inf')


class ResponseKind(enum.Enum):
    """
    What a response answers.

    Only an answer to a request that ran says by its silence that a limit has
    ended, and neither a rejection nor a failed probe says that of anything.
    """

    REQUEST = 'request'
    REJECTION = 'rejection'
    PROBE = 'probe'


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
    '' for this one.
    """

    server: str
    started_ms: int
    limit: float | None = None
    is_leaving: bool = False
    said_at: float = _NEVER
    source: str = ''

    def says_same(self, other: 'ServerNotice') -> bool:
        """Return whether two notices tell the same, whenever it was said."""
        return (self.limit, self.is_leaving) == (other.limit, other.is_leaving)


@dataclass(slots=True)
class Admission:
    """
    What a server has said of the requests that it wants; see `ServerNotice`.

    ``paused_until`` is the end of the pause that it asked this VM for. Times
    are those of a clock that counts the time in which the VM is suspended.
    """

    notice: ServerNotice
    paused_until: float = _NEVER

    def learn(
        self,
        statement: ServerStatement,
        kind: ResponseKind,
        sent_at: float,
        now: float,
    ) -> bool:
        """
        Apply a genuine response; return whether anything has changed.

        ``sent_at`` is when its request was sent. A response whose request was
        sent before a limit or the leaving was known may be older than these,
        so that its silence doesn't end them.
        """
        was_paused_until = self.paused_until
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
        return changed or self.paused_until > was_paused_until

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
