"""
What one process knows of the keys that it alone may run.

The table forgets a key only after its window. Its bound in memory is kept by
refusing new keys, never by forgetting.
"""

__all__ = ('KeyRecord', 'KeyState', 'KeyTable', 'StoredResponse')

import enum
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.idempotency.exceptions import (
    KeyReusedError,
    KeyTableFullError,
)


class KeyState(enum.Enum):
    """What became of a key's request."""

    IN_FLIGHT = 'in-flight'
    NOT_RUN = 'not-run'
    ANSWERED = 'answered'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A backend server's whole answer, small enough to be kept."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True)
class KeyRecord:
    """
    One key.

    ``fingerprint`` is a digest of the request's content. ``kept_until`` is in
    monotonic seconds. ``on_settled`` is called once the request has ended.
    """

    fingerprint: bytes
    kept_until: float
    state: KeyState = KeyState.IN_FLIGHT
    response: StoredResponse | None = None
    on_settled: list[Callable[[], None]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class KeyLimits:
    """
    Bounds of a table.

    A key is kept for ``window_seconds``. ``response_bytes`` bounds the total
    size of the stored bodies; beyond it a response is not stored, and a repeat
    only learns that the request has run.
    """

    window_seconds: float
    keys: int
    response_bytes: int


class KeyTable:
    """Keys in the order in which they came, hence in which they expire."""

    def __init__(self, limits: KeyLimits, clock: Clock) -> None:
        self.limits = limits
        self.clock = clock
        self.records: OrderedDict[str, KeyRecord] = OrderedDict()
        self.response_bytes = 0

    def find(self, key: str, fingerprint: bytes) -> KeyRecord | None:
        """
        Return the record of a key seen within the window.

        Raises `KeyReusedError` where the key came with another content.
        """
        record = self.records.get(key)
        if record is not None and record.fingerprint != fingerprint:
            raise KeyReusedError('the key belongs to another request')
        return record

    def begin(self, key: str, fingerprint: bytes) -> KeyRecord:
        """
        Note that a key's request begins, and return its record.

        The key must be new or known as not run. Raises `KeyTableFullError`.
        """
        self._expire()
        kept_until = self.clock.monotonic() + self.limits.window_seconds
        known = self.records.get(key)
        if known is not None:
            assert known.state is KeyState.NOT_RUN
            known.state = KeyState.IN_FLIGHT
            known.kept_until = kept_until
            self.records.move_to_end(key)
            return known
        if len(self.records) >= self.limits.keys:
            raise KeyTableFullError(
                f'{self.limits.keys} keys are kept already',
            )
        record = KeyRecord(fingerprint, kept_until)
        self.records[key] = record
        return record

    def settle(
        self,
        record: KeyRecord,
        state: KeyState,
        response: StoredResponse | None = None,
    ) -> None:
        """Note how a key's request ended and tell those who wait."""
        record.state = state
        if response is not None:
            self._keep(record, response)
        waiting = record.on_settled
        record.on_settled = []
        for callback in waiting:
            callback()

    def _keep(self, record: KeyRecord, response: StoredResponse) -> None:
        if (
            self.response_bytes + len(response.body)
            > self.limits.response_bytes
        ):
            record.state = KeyState.RAN
            return
        record.response = response
        self.response_bytes += len(response.body)

    def _expire(self) -> None:
        now = self.clock.monotonic()
        while self.records:
            oldest = next(iter(self.records.values()))
            if oldest.kept_until > now:
                return
            self._forget(self.records.popitem(last=False)[1])

    def _forget(self, record: KeyRecord) -> None:
        if record.response is not None:
            self.response_bytes -= len(record.response.body)
            record.response = None
