"""Faults of single exchanges, drawn so that each kind comes about."""

__all__ = ('FaultDeck',)

import random

from zinniaturn.standins.faults import (
    BlackHole,
    CutAnswer,
    CutRequest,
    CutWhileRunning,
    DelayAnswer,
    ExtraBytes,
    Fault,
    HalfClose,
    LoseAnswer,
    NoFault,
    RepeatAnswer,
)

_QUIET_EACH = 14


class FaultDeck:
    """Every kind once per deck, among many exchanges without a fault."""

    def __init__(self, source: random.Random) -> None:
        self.source = source
        self.cards: list[Fault] = []

    def draw(self) -> Fault:
        """Return the fault of the next exchange."""
        if not self.cards:
            self.cards = self._shuffled()
        return self.cards.pop()

    def every_kind(self) -> list[Fault]:
        """Return one fault of each kind, with sizes from the seed."""
        source = self.source
        return [
            CutRequest(source.randrange(200)),
            CutWhileRunning(source.uniform(0, 0.004)),
            CutAnswer(0, reset=True),
            CutAnswer(source.randrange(1, 400)),
            HalfClose(source.randrange(400)),
            LoseAnswer(),
            BlackHole(source.randrange(200)),
            DelayAnswer(source.uniform(0.01, 0.3)),
            ExtraBytes(b'stray bytes', 0.05),
            ExtraBytes(b'stray bytes'),
            RepeatAnswer(0.01),
        ]

    def _shuffled(self) -> list[Fault]:
        faults = self.every_kind()
        cards = [
            *faults,
            *(NoFault() for _ in range(_QUIET_EACH * len(faults))),
        ]
        self.source.shuffle(cards)
        return cards
