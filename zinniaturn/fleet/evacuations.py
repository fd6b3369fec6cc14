"""
The evacuated data centres as one VM knows them.

They are a state of their own beside the fleet's: with their own revision and
their own time of confirmation. A VM of a build that doesn't know evacuations
tells newer tables and servers, and confirms those it holds, but tells nothing
of evacuations. So its messages move the fleet's state only, and what is known
here is ended, confirmed or made older by nothing but the store and VMs that
tell evacuations.

Each name costs a few bytes of a state message; there are at most 256. A
datagram has three figures, whatever the number of names.
"""

__all__ = (
    'LONGEST_DATA_CENTER',
    'MOST_EVACUATED',
    'Evacuations',
    'EvacuationsClaim',
    'EvacuationsNews',
    'Verdict',
    'bound_names',
    'check_data_center',
)

import enum
import zlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from zinniaturn.clock import Clock
from zinniaturn.fleet.revisions import era_of

MOST_EVACUATED = 256
# Servers name data centres that are no longer than this.
LONGEST_DATA_CENTER = 200

_NEVER = float('-inf')
# Operators write again what the store has lost within this time.
_KEPT_SECONDS = 30.0
# Share of the bound after which what is known counts as outdated. The rest is
# for a request's way to its server.
_OUTDATED_SHARE = 0.9


class Verdict(enum.Enum):
    """What another VM's claim means for what is held here."""

    NOTHING = 'nothing'
    CONFIRMED = 'confirmed'
    NEWER = 'newer'


@dataclass(frozen=True, slots=True)
class EvacuationsClaim:
    """The evacuations that a VM holds; ``confirmed_at`` by the own clock."""

    revision: int
    digest: int
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class EvacuationsNews:
    """
    Evacuations that the store or another VM has told.

    ``names`` are those that the store held at ``revision``, by a read that was
    begun at ``requested_at``. ``kept`` are those that the store has lost, with
    the seconds for which they stay in force.
    """

    names: frozenset[str]
    revision: int
    requested_at: float
    kept: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Evacuations:
    """
    The names of evacuated data centres, and how current they are.

    ``bound_seconds`` is the time within which an evacuation takes effect; with
    0 none does, and other VMs are told nothing. ``names`` are those that the
    store held at ``revision``, and ``confirmed_at`` is the latest time at which
    they are certain to have been the store's. ``kept_until`` holds those that
    were lost as the store came back from an older copy. ``in_force`` are both.
    ``known_since`` tells for both since when this VM has known each.
    ``unread_at`` is when the last read began that failed.
    """

    clock: Clock
    bound_seconds: float = 0
    names: frozenset[str] = frozenset()
    revision: int = 0
    confirmed_at: float = _NEVER
    kept_until: dict[str, float] = field(default_factory=dict)
    in_force: frozenset[str] = frozenset()
    known_since: dict[str, float] = field(default_factory=dict)
    digest: int = 0
    unread_at: float = _NEVER

    @property
    def is_followed(self) -> bool:
        """Return whether evacuations take effect."""
        return self.bound_seconds > 0

    @property
    def is_known(self) -> bool:
        """Return whether the store or another VM has told them."""
        return self.confirmed_at > _NEVER

    @property
    def age_seconds(self) -> float:
        """Return the time since they were last confirmed."""
        return self.clock.monotonic() - self.confirmed_at

    def follow(self, bound_seconds: float) -> None:
        """Apply a changed bound."""
        self.bound_seconds = bound_seconds
        self._refresh()

    def install(self, news: EvacuationsNews) -> bool:
        """
        Take over what the store or another VM has told, unless it is older.

        Returns whether it was taken over.
        """
        if news.revision < self.revision:
            return False
        now = self.clock.monotonic()
        if 0 < era_of(self.revision) < era_of(news.revision):
            for name in self.names - news.names:
                self.kept_until[name] = now + _KEPT_SECONDS
        if news.revision > self.revision:
            for kept, seconds in news.kept.items():
                left = min(seconds, _KEPT_SECONDS)
                self.kept_until.setdefault(kept, now + left)
        # The pages of a read may show changes after its revision. Of two reads
        # of one revision that differ, each may have seen what the other lacks.
        is_same = news.revision == self.revision
        self.names = self.names | news.names if is_same else news.names
        for found in self.kept_until.keys() & self.names:
            self.kept_until.pop(found)
        self.confirm(news.revision, news.requested_at)
        self._refresh()
        return True

    def confirm(self, revision: int, requested_at: float) -> None:
        """Record that the names were also the store's at a later revision."""
        self.revision = max(self.revision, revision)
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def assess(self, claim: EvacuationsClaim) -> Verdict:
        """
        Return what another VM's claim means, and confirm what it confirms.

        A claim of an older revision confirms nothing: if its time is later all
        the same, one of the two figures is wrong.
        """
        if not self.is_followed or claim.revision < self.revision:
            return Verdict.NOTHING
        if claim.digest != self.digest or not self.is_known:
            is_newer = claim.revision > self.revision
            return Verdict.NEWER if is_newer else Verdict.NOTHING
        if claim.confirmed_at <= self.confirmed_at:
            return Verdict.NOTHING
        if era_of(claim.revision) > era_of(self.revision):
            # What the store has lost is told by the state, not by the claim.
            return Verdict.NEWER
        self.confirm(claim.revision, claim.confirmed_at)
        return Verdict.CONFIRMED

    def drop_expired(self) -> None:
        """End those that the store lost and that nobody has written again."""
        now = self.clock.monotonic()
        expired = [
            name for name, until in self.kept_until.items() if now >= until
        ]
        for name in expired:
            self.kept_until.pop(name)
        if expired:
            self._refresh()

    def kept_seconds(self) -> dict[str, float]:
        """Return the names that the store lost, with the seconds left."""
        now = self.clock.monotonic()
        return {
            name: max(0, until - now) for name, until in self.kept_until.items()
        }

    def is_in_doubt(self, resumed_at: float) -> bool:
        """
        Return whether a request has to wait for what the store holds now.

        ``resumed_at`` is when this process started or a long pause of it ended.
        From then on the VM first has to hear of the evacuations again. A read
        that fails means that the store is out of reach; then what is held stays
        in force, and so it does where reads take longer than the bound.
        """
        if not self.is_followed or resumed_at <= self.confirmed_at:
            return False
        now = self.clock.monotonic()
        if now - self.confirmed_at < self.bound_seconds * _OUTDATED_SHARE:
            return False
        has_failed = self.unread_at >= resumed_at
        return not has_failed and now - resumed_at < self.bound_seconds

    def _refresh(self) -> None:
        self.digest = zlib.crc32(msgspec.msgpack.encode(sorted(self.names)))
        held = self.names.union(self.kept_until)
        self.in_force = held if self.is_followed else frozenset()
        now = self.clock.monotonic()
        known = self.known_since
        self.known_since = {name: known.get(name, now) for name in held}


def check_data_center(name: str) -> str:
    """Return the name of a data centre; raises `ValueError` for a long one."""
    if len(name) > LONGEST_DATA_CENTER:
        raise ValueError(f"the data centre's name has {len(name)} characters")
    return name


def bound_names(names: Collection[str], used: Iterable[str]) -> frozenset[str]:
    """
    Return the names to follow, those in use by servers first if too many.

    >>> sorted(bound_names({'dc-a', 'dc-b'}, ()))
    ['dc-a', 'dc-b']
    """
    if len(names) <= MOST_EVACUATED:
        return frozenset(names)
    in_use = frozenset(used)
    ranked = sorted(names, key=lambda name: (name not in in_use, name))
    return frozenset(ranked[:MOST_EVACUATED])
