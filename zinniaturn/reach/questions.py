"""Which pools VMs ask each other about, since no server responds to them."""

__all__ = ('PoolQuestions',)

from dataclasses import dataclass, field

_LIFETIME_SECONDS = 1.5


@dataclass(slots=True)
class PoolQuestions:
    """
    The pools that others ask about, and those who ask, with the latest times.

    >>> questions = PoolQuestions()
    >>> questions.note('card', 'vm-2', 10.0)
    >>> questions.open(11.0), questions.is_asker('vm-2', 11.0)
    (['card'], True)
    >>> questions.open(12.0), questions.is_asker('vm-2', 12.0)
    ([], False)
    """

    asked_at: dict[str, float] = field(default_factory=dict)
    askers: dict[str, float] = field(default_factory=dict)

    def note(self, pool: str, vm: str, now: float) -> None:
        """Record a question."""
        self.asked_at[pool] = now
        self.askers[vm] = now

    def is_asker(self, vm: str, now: float) -> bool:
        """Return whether a VM has asked lately."""
        return self.askers.get(vm, float('-inf')) >= now - _LIFETIME_SECONDS

    def open(self, now: float) -> list[str]:
        """Return the pools that were asked about lately; forget the others."""
        oldest = now - _LIFETIME_SECONDS
        for times in (self.asked_at, self.askers):
            for name, asked_at in list(times.items()):
                if asked_at < oldest:
                    times.pop(name)
        return list(self.asked_at)
