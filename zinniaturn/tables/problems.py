"""What is wrong with a table file, and where."""

__all__ = ('Problem',)

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """
    One thing that is wrong.

    ``line`` counts from 1. ``field`` is a path such as
    ``pools[0].servers[2].port``, or empty where the whole file is meant.

    >>> str(Problem('pools.yaml', 4, 'pools[0].name', 'is missing'))
    'pools.yaml:4: pools[0].name: is missing'
    """

    file_name: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        """Return file, line, field and sentence."""
        place = f'{self.file_name}:{self.line}'
        if self.field:
            return f'{place}: {self.field}: {self.text}'
        return f'{place}: {self.text}'
