"""Which pools VMs ask each other about, since no server responds to them."""

__all__ = ('PoolQuestions',)

from dataclasses import dataclass, field

_LIFETIME_SECONDS = 1.5


@dataclass(slots=True)
class PoolQuestions:
    """
    The pools that others ask about, with the time of the latest question.

    >>> questions = PoolQuestions()
    >>> questions.note('card', 10.0)
    >>> questions.open(11.0), questions.open(12.0)
    (['card'], [])
    """

    asked_at: dict[str, float] = field(default_factory=dict)

    def note(self, pool: str, now: float) -> None:
        """Record a question."""
        self.asked_at[pool] = now

    def open(self, now: float) -> list[str]:
        """Return the pools that were asked about lately; forget the others."""
        oldest = now - _LIFETIME_SECONDS
        for pool, asked_at in list(self.asked_at.items()):
            if asked_at < oldest:
                self.asked_at.pop(pool)
        return list(self.asked_at)
