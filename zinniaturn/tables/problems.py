"""A problem in a table file, with its position."""

__all__ = ('Problem',)

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """
    One problem in a table file.

    ``line`` counts from 1. ``field`` is a path such as
    ``pools[0].servers[2].port``, or empty if the problem concerns the file.

    >>> str(Problem('pools.yaml', 4, 'pools[0].name', 'is missing'))
    'pools.yaml:4: pools[0].name: is missing'
    """

    file_name: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        """Return the file, line, field and text of the problem."""
        place = f'{self.file_name}:{self.line}'
        if self.field:
            return f'{place}: {self.field}: {self.text}'
        return f'{place}: {self.text}'
