"""
Outcomes of the keys whose requests only this process may run.

The table forgets a key only after its window. It bounds its memory by rejecting
new keys, never by forgetting keys early.
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
    """State or outcome of a key's request."""

    IN_FLIGHT = 'in-flight'
    NOT_RUN = 'not-run'
    ANSWERED = 'answered'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A backend server's complete response, small enough to be stored."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True)
class KeyRecord:
    """
    The request of one key.

    ``fingerprint`` is a digest of the request's content. ``kept_until`` is in
    monotonic seconds. The callbacks ``on_settled`` are called once the request
    has ended.
    """

    fingerprint: bytes
    kept_until: float
    state: KeyState = KeyState.IN_FLIGHT
    response: StoredResponse | None = None
    on_settled: list[Callable[[], None]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class KeyLimits:
    """
    Limits of a table.

    A key is kept for ``window_seconds``. ``max_response_bytes`` bounds the
    total size of the stored bodies; beyond it a response is not stored, and a
    repeat only learns that the request has run.
    """

    window_seconds: float
    max_keys: int
    max_response_bytes: int


class KeyTable:
    """Records by key, in order of their start and so of their expiry."""

    def __init__(self, limits: KeyLimits, clock: Clock) -> None:
        self.limits = limits
        self.clock = clock
        self.records: OrderedDict[str, KeyRecord] = OrderedDict()
        self.response_bytes = 0

    def find(self, key: str, fingerprint: bytes) -> KeyRecord | None:
        """
        Return the record of a key used within the window, or ``None``.

        Raises `KeyReusedError` if the key was used for different content.
        """
        record = self.records.get(key)
        if record is not None and record.fingerprint != fingerprint:
            raise KeyReusedError('the key belongs to another request')
        return record

    def begin(self, key: str, fingerprint: bytes) -> KeyRecord:
        """
        Record that a key's request begins, and return its record.

        The key must be new or its request recorded as not run. Raises
        `KeyTableFullError`.
        """
        self._remove_expired()
        kept_until = self.clock.monotonic() + self.limits.window_seconds
        existing = self.records.get(key)
        if existing is not None:
            assert existing.state is KeyState.NOT_RUN
            existing.state = KeyState.IN_FLIGHT
            existing.kept_until = kept_until
            self.records.move_to_end(key)
            return existing
        if len(self.records) >= self.limits.max_keys:
            raise KeyTableFullError(
                f'{self.limits.max_keys} keys are kept already',
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
        """Record the outcome of a key's request and call the callbacks."""
        record.state = state
        if response is not None:
            self._store_response(record, response)
        callbacks = record.on_settled
        record.on_settled = []
        for callback in callbacks:
            callback()

    def _store_response(
        self, record: KeyRecord, response: StoredResponse
    ) -> None:
        if (
            self.response_bytes + len(response.body)
            > self.limits.max_response_bytes
        ):
            record.state = KeyState.RAN
            return
        record.response = response
        self.response_bytes += len(response.body)

    def _remove_expired(self) -> None:
        now = self.clock.monotonic()
        while self.records:
            oldest = next(iter(self.records.values()))
            if oldest.kept_until > now:
                return
            self._release_response(self.records.popitem(last=False)[1])

    def _release_response(self, record: KeyRecord) -> None:
        if record.response is not None:
            self.response_bytes -= len(record.response.body)
            record.response = None
