"""
What all VMs know of their paths to the pools, as one of them sees it.

A VM to which no server of a pool responds asks the others about the pool in the
messages that it sends anyway. Those to which servers respond say so in theirs
to whoever asks, of themselves and of up to three others that they know of.
While all pools respond to all VMs, this adds three bytes to a message.
"""

__all__ = ('ReachTable',)

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.reach.decision import PathDecision, PoolPath, decide
from zinniaturn.reach.own_reach import OwnReach
from zinniaturn.reach.questions import PoolQuestions
from zinniaturn.reach.witnesses import PoolResponse, Witnesses

# A response has to come this much later than the first attempt without one.
_LEAST_LEAD_SECONDS = 0.02
_RECENT_SECONDS = 1.0
_ASK_AGAIN_SECONDS = 1.0
_MOST_POOLS_IN_MESSAGE = 8
_MOST_OTHERS_IN_MESSAGE = 3
_OPEN_PATH = PoolPath(
    is_silent=False, refuses_connections=False, asked_seconds=0
)


def _ask_nobody() -> None:
    """Do nothing; the gossip sets how to ask the other VMs at once."""


@dataclass(slots=True)
class ReachTable:
    """
    The own observations, those of other VMs, and who asks about which pools.

    ``asking_since`` holds the pools that this VM asks about, ``questions``
    those that others do, and ``cut_off`` those of which this VM has lost the
    servers while others reach them. ``ask_now`` asks other VMs at once.
    ``peers`` returns the number of other VMs that are alive.
    """

    clock: Clock
    name: str
    peers: Callable[[], int]
    own: OwnReach = field(init=False)
    witnesses: Witnesses = field(default_factory=Witnesses)
    questions: PoolQuestions = field(default_factory=PoolQuestions)
    asking_since: dict[str, float] = field(default_factory=dict)
    cut_off: set[str] = field(default_factory=set)
    ask_now: Callable[[], None] = _ask_nobody

    def __post_init__(self) -> None:
        """Begin without observations."""
        self.own = OwnReach(self.clock)

    def decide(
        self, pool: str, is_relayed: bool, is_unplaced: bool = False
    ) -> PathDecision:
        """Return what to do with a request to a pool."""
        return decide(self.path(pool), is_relayed, is_unplaced)

    def peek(self, pool: str) -> PathDecision:
        """Return what `decide` would for a caller's request; ask nobody."""
        now = self.clock.monotonic()
        path = self._path(pool, lambda name: self.asking_since.get(name, now))
        return decide(path, is_relayed=False, is_unplaced=False)

    def path(self, pool: str) -> PoolPath:
        """Return what is known of the path to a pool; ask other VMs of it."""
        return self._path(pool, self.ask)

    def _path(self, pool: str, ask: Callable[[str], float]) -> PoolPath:
        if self.own.is_trusted(pool):
            return _OPEN_PATH
        is_silent = self.own.is_silent(pool)
        refuses_connections = self.own.refuses_connections(pool)
        if not (is_silent or refuses_connections):
            return _OPEN_PATH
        now = self.clock.monotonic()
        asked_at = ask(pool)
        since = self.own.of(pool).silent_since + _LEAST_LEAD_SECONDS
        return PoolPath(
            is_silent,
            refuses_connections,
            now - asked_at,
            self.own.of(pool).silent_seconds(now),
            tuple(self.witnesses.of(pool, since, now)),
            self.peers(),
        )

    def ask(self, pool: str) -> float:
        """Ask other VMs about a pool; return since when this VM does."""
        asked_at = self.asking_since.get(pool)
        if asked_at is None:
            asked_at = self.clock.monotonic()
            self.asking_since[pool] = asked_at
            self.ask_now()
        return asked_at

    def update(self) -> None:
        """
        Ask about pools that don't respond, and stop asking about the others.

        Call it ten times a second. For a second it asks anew as long as no VM
        has an answer.

        Work: the pools with servers that have not responded yet.
        """
        now = self.clock.monotonic()
        is_unanswered = False
        self.witnesses.discard_old(now)
        doubtful = set(self.own.doubtful_pools())
        for responding in self.asking_since.keys() - doubtful:
            self.asking_since.pop(responding)
            self.cut_off.discard(responding)
        for pool in doubtful:
            asked_at = self.ask(pool)
            path = self.path(pool)
            if path.is_lost:
                self.cut_off.add(pool)
            elif not path.witnesses and now < asked_at + _ASK_AGAIN_SECONDS:
                is_unanswered = True
        if is_unanswered:
            self.ask_now()

    def questions_to_send(self) -> tuple[str, ...]:
        """Return the pools that this VM has asked about last."""
        return tuple(self.asking_since)[-_MOST_POOLS_IN_MESSAGE:]

    def responses_to_send(self, receiver: str) -> list[PoolResponse]:
        """Return what this VM knows of open questions, for one who asks."""
        now = self.clock.monotonic()
        if not self.questions.is_asker(receiver, now):
            return []
        responses: list[PoolResponse] = []
        for pool in self.questions.open(now)[-_MOST_POOLS_IN_MESSAGE:]:
            responded_at = self.own.responded_at(pool)
            if responded_at > now - _RECENT_SECONDS:
                responses.append(PoolResponse(pool, self.name, responded_at))
            responses.extend(
                self.witnesses.latest(pool, _MOST_OTHERS_IN_MESSAGE, now)
            )
        return responses

    def learn(
        self,
        vm: str,
        questions: Iterable[str],
        responses: Iterable[PoolResponse],
    ) -> None:
        """Take in what another VM has said."""
        now = self.clock.monotonic()
        for pool in questions:
            self.questions.note(pool, vm, now)
            self.witnesses.discard(pool, vm)
        for response in responses:
            if response.vm != self.name:
                self.witnesses.note(response)

    def pools_to_probe_for_others(self) -> list[str]:
        """Return the pools that others ask about and that need a probe."""
        now = self.clock.monotonic()
        return [
            pool
            for pool in self.questions.open(now)
            if pool not in self.asking_since
            and self.own.responded_at(pool) < now - _RECENT_SECONDS / 2
        ]
