"""An event loop whose clock jumps to the next timer instead of waiting."""

__all__ = ('VirtualLoop',)

import asyncio
import selectors
from typing import Any


class _InstantSelector(selectors.SelectSelector):
    """A selector that waits for no file but moves the loop's clock on."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Let the time until the next timer pass at once."""
        if timeout is None:
            raise RuntimeError('the model waits for nothing')
        self.now += max(0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs coroutines in virtual time, which starts at a full hour."""

    def __init__(self) -> None:
        self.instant_selector = _InstantSelector()
        self.instant_selector.now = 3600.0
        super().__init__(self.instant_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.instant_selector.now

    def monotonic(self) -> float:
        """Return the virtual time, as a `Clock` does."""
        return self.time()

    def wall(self) -> float:
        """Return the virtual time, as a `Clock` does."""
        return self.time()
