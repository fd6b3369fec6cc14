"""Faults of single exchanges, shuffled so that every kind occurs."""

__all__ = ('ShuffledFaults',)

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

_FAULTLESS_PER_FAULT = 14


class ShuffledFaults:
    """Draws each kind once per round, among many exchanges without a fault."""

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source
        self.remaining_faults: list[Fault] = []

    def next_fault(self) -> Fault:
        """Return the fault of the next exchange."""
        if not self.remaining_faults:
            self.remaining_faults = self._shuffled_round()
        return self.remaining_faults.pop()

    def one_of_each_kind(self) -> list[Fault]:
        """Return one fault of each kind, with sizes from the seed."""
        random_source = self.random_source
        return [
            CutRequest(random_source.randrange(200)),
            CutWhileRunning(random_source.uniform(0, 0.004)),
            CutAnswer(0, reset=True),
            CutAnswer(random_source.randrange(1, 400)),
            HalfClose(random_source.randrange(400)),
            LoseAnswer(),
            BlackHole(random_source.randrange(200)),
            DelayAnswer(random_source.uniform(0.01, 0.3)),
            ExtraBytes(b'stray bytes', 0.05),
            ExtraBytes(b'stray bytes'),
            RepeatAnswer(0.01),
        ]

    def _shuffled_round(self) -> list[Fault]:
        faults = self.one_of_each_kind()
        remaining_faults = [
            *faults,
            *(NoFault() for _ in range(_FAULTLESS_PER_FAULT * len(faults))),
        ]
        self.random_source.shuffle(remaining_faults)
        return remaining_faults
