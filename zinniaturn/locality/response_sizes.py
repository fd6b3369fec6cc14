"""The usual size of each route's responses."""

__all__ = ('ResponseSizes',)

from dataclasses import dataclass, field

_SMOOTHING = 0.05
# The first samples of a route count more.
_FIRST_SAMPLES = 20
_BYTES_PER_MEGABYTE = 1_000_000


@dataclass(slots=True)
class ResponseSizes:
    """
    The mean size of each route's responses in bytes, and of all routes.

    A route without a response yet counts as one of empty responses, so that
    nothing is held back for its sake.

    >>> sizes = ResponseSizes()
    >>> sizes.note('files', 1_000_000)
    >>> sizes.megabytes('files'), sizes.megabytes('reads')
    (1.0, 0.0)
    >>> sizes.retain({'reads'}), sizes.megabytes('files')
    (None, 0.0)
    """

    means: dict[str, float] = field(default_factory=dict)
    samples: dict[str, int] = field(default_factory=dict)

    def note(self, route: str, size: int) -> None:
        """Record the size of a response's body in bytes."""
        count = self.samples.get(route, 0) + 1
        self.samples[route] = min(count, _FIRST_SAMPLES)
        mean = self.means.get(route, 0)
        weight = max(_SMOOTHING, 1 / count)
        self.means[route] = mean + (size - mean) * weight

    def megabytes(self, route: str) -> float:
        """Return the usual size of a route's responses in megabytes."""
        return self.means.get(route, 0) / _BYTES_PER_MEGABYTE

    def retain(self, routes: set[str]) -> None:
        """Forget the routes that no longer exist."""
        for route in self.means.keys() - routes:
            self.means.pop(route)
            self.samples.pop(route)
