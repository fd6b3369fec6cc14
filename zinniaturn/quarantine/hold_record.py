"""
What the store keeps of a held request, for VMs that lost their memory together.

Times are Unix times, since nothing else outlives a process. A clock that is
some seconds off lengthens or shortens the hold by as much.
"""

__all__ = (
    'HeldCrash',
    'HoldRecord',
    'StoredHold',
    'build_hold',
    'held_crashes',
)

from collections.abc import Iterable
from dataclasses import dataclass

from zinniaturn.clock import Clock
from zinniaturn.quarantine.crash_record import CrashRecord, ServerProcess
from zinniaturn.quarantine.request_key import (
    RequestKey,
    format_key,
    parse_key,
)

_MOST_CRASHES = 8
_MOST_WITNESSES = 64
_LONGEST_NAME = 200
_MS_PER_SECOND = 1000
# A Unix time in milliseconds that no clock shows for thousands of years.
_LATEST_MS = 10**15
# An older crash holds nothing any more, whatever the clocks say.
_OLDEST_SECONDS = 5000.0


@dataclass(frozen=True, slots=True)
class HeldCrash:
    """The end of one server process, at a Unix time in milliseconds."""

    server: str
    started_ms: int
    ended_ms: int
    witnesses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HoldRecord:
    """A held request by its key, in hexadecimal digits, and its crashes."""

    key: str
    crashes: tuple[HeldCrash, ...]

    @property
    def request_key(self) -> RequestKey:
        """Return the key; raises `ValueError`."""
        return parse_key(self.key)

    def check(self) -> None:
        """Raise `ValueError` if the record tells nothing that can be used."""
        parse_key(self.key)
        if len(self.crashes) > _MOST_CRASHES:
            raise ValueError(f'{len(self.crashes)} crashes are too many')
        for crash in self.crashes:
            _check_names(crash)
            if not 0 <= crash.ended_ms <= _LATEST_MS:
                raise ValueError(f'no time: {crash.ended_ms} ms')
            if not 0 <= crash.started_ms <= _LATEST_MS:
                raise ValueError(f'no time: {crash.started_ms} ms')


def _check_names(crash: HeldCrash) -> None:
    """Raise `ValueError` if the names don't fit into a datagram."""
    if len(crash.witnesses) > _MOST_WITNESSES:
        raise ValueError(f'{len(crash.witnesses)} witnesses are too many')
    if any(
        len(name) > _LONGEST_NAME for name in (crash.server, *crash.witnesses)
    ):
        raise ValueError('a name is too long')


@dataclass(frozen=True, slots=True)
class StoredHold:
    """A hold in the store, with the revision of its key."""

    record: HoldRecord
    revision: int


def build_hold(
    key: RequestKey, records: Iterable[CrashRecord], clock: Clock
) -> HoldRecord:
    """Return the record of a held request with these crashes."""
    offset = clock.wall() - clock.monotonic()
    latest = sorted(records, key=lambda record: record.ended_at)[
        -_MOST_CRASHES:
    ]
    return HoldRecord(
        format_key(key),
        tuple(
            HeldCrash(
                record.process.server,
                record.process.started_ms,
                round((record.ended_at + offset) * _MS_PER_SECOND),
                tuple(sorted(record.witnesses)),
            )
            for record in latest
        ),
    )


def held_crashes(hold: HoldRecord, clock: Clock) -> list[CrashRecord]:
    """Return the crashes of a stored hold that was checked."""
    key = hold.request_key
    now = clock.monotonic()
    offset = clock.wall() - now
    crashes = []
    for crash in hold.crashes:
        ended_at = min(now, crash.ended_ms / _MS_PER_SECOND - offset)
        if ended_at >= now - _OLDEST_SECONDS:
            process = ServerProcess(crash.server, crash.started_ms)
            crashes.append(
                CrashRecord(process, ended_at, {key}, set(crash.witnesses))
            )
    return crashes
