"""What has been received on one connection and is not in work yet."""

__all__ = ('Intake', 'IntakeOwner')

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from zinniaturn.http1.messages import Request
from zinniaturn.http1.request_reader import RequestReader
from zinniaturn.http1.turns import Turns

_NOTHING = memoryview(b'')
# A few requests ahead fit, so that those who send no more are read on.
_AHEAD_BYTES = 16 * 1024


class IntakeOwner(Protocol):
    """The connection that the requests are for."""

    is_closing: bool

    def may_start(self) -> bool:
        """Return whether another request may be parsed and started."""

    def dispatch(self, request: Request, held_bytes: int) -> None:
        """Start a request, which takes so many bytes."""

    def settle(self, moved_bytes: int = 0) -> None:
        """Do what follows from what has been handled."""


@dataclass(slots=True)
class Intake:
    """
    Bytes that wait to be parsed, and parsed requests that wait to be started.

    Few requests are parsed ahead: those in the slice of bytes that was parsed
    last. ``waiting_bytes`` is what they hold. One request is started in a turn,
    as some are answered at once and take milliseconds.
    """

    owner: IntakeOwner
    reader: RequestReader
    turns: Turns
    unparsed: memoryview = _NOTHING
    waiting: deque[tuple[Request, int]] = field(default_factory=deque)
    waiting_bytes: int = 0
    has_started: bool = False
    is_handling: bool = False
    has_turn: bool = False

    def __post_init__(self) -> None:
        self.reader.on_request = self.receive

    @property
    def has_more(self) -> bool:
        """Return whether bytes or requests wait to be handled."""
        return bool(self.unparsed or self.waiting)

    @property
    def is_full(self) -> bool:
        """Return whether no more should be read."""
        return len(self.unparsed) > _AHEAD_BYTES

    @property
    def held_bytes(self) -> int:
        """Return what it takes together with the request being received."""
        reader_bytes = self.reader.held_bytes
        return self.waiting_bytes + len(self.unparsed) + reader_bytes

    def put(self, data: bytes) -> None:
        """Take bytes, and handle them unless others have their turn first."""
        if self.unparsed:
            data = bytes(self.unparsed) + data
        self.unparsed = memoryview(data)
        if not self.has_turn:
            self._handle()

    def receive(self, request: Request, held_bytes: int) -> None:
        """Start a request that is complete, or let it wait."""
        is_first = not (self.waiting or self.has_started)
        if is_first and self.owner.may_start():
            self._start(request, held_bytes)
        else:
            self.waiting_bytes += held_bytes
            self.waiting.append((request, held_bytes))

    def take_turn(self) -> None:
        """Handle a little of what has been received."""
        self.has_turn = False
        self._handle()
        self.owner.settle()

    def ask_for_turn(self) -> None:
        """Take a turn after other connections if there is more to handle."""
        if not self.has_turn and self._can_go_on():
            self.has_turn = True
            self.turns.add(self)

    def receiving_since(self, now: float, progress_at: float) -> float:
        """
        Return since when a head, or more of a body, is waited for.

        ``progress_at`` is when bytes came last.
        """
        if self.has_more:
            return now
        is_body = self.reader.is_head_done
        return progress_at if is_body else self.reader.started_at

    def start_last(self, most: int) -> None:
        """Start requests that wait, as the last ones of the connection."""
        for _ in range(min(most, len(self.waiting))):
            self._start_waiting()

    def drop(self) -> None:
        """Forget what has been received."""
        self.unparsed = _NOTHING
        self.waiting.clear()
        self.waiting_bytes = 0
        self.reader.drop()

    def _handle(self) -> None:
        """Parse slices up to the first request, and start that."""
        self.is_handling = True
        self.has_started = False
        try:
            while not self.has_started and self._can_go_on():
                if self.waiting:
                    self._start_waiting()
                else:
                    self._parse_slice()
        finally:
            self.is_handling = False

    def _parse_slice(self) -> None:
        size = self.reader.slice_bytes()
        parsed = self.unparsed[:size]
        self.unparsed = self.unparsed[size:]
        self.reader.feed(parsed)

    def _can_go_on(self) -> bool:
        has_more = self.has_more and not self.owner.is_closing
        return has_more and self.owner.may_start()

    def _start_waiting(self) -> None:
        request, held_bytes = self.waiting.popleft()
        self.waiting_bytes -= held_bytes
        self._start(request, held_bytes)

    def _start(self, request: Request, held_bytes: int) -> None:
        self.has_started = True
        self.owner.dispatch(request, held_bytes)
