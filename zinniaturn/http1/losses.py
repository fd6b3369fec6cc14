"""What became of clients that held too much, for counters and the log."""

__all__ = ('LOSS_BY_STATUS', 'Loss', 'Losses')

import enum
from collections import Counter
from dataclasses import dataclass, field
from types import MappingProxyType

from zinniaturn.http1.client_limits import Place

_MOST_HOSTS = 8
_OTHER_HOSTS = 'others'


class Loss(enum.Enum):
    """
    Why a client gave way, was refused, or had to wait.

    ``REFUSED`` and ``CUT`` are for memory: with 503, or by closing. ``CLOSED``
    and ``TURNED_AWAY`` are for descriptors: an earlier connection, or the new
    one where no other could give way. ``TOO_LARGE`` got 413 or 431,
    ``TOO_SLOW`` 408 and ``MALFORMED`` 400. ``UNREAD`` were closed as they read
    nothing of their responses for too long.
    """

    REFUSED = 'client_refused'
    CUT = 'client_cut'
    CLOSED = 'client_closed'
    TURNED_AWAY = 'client_turned_away'
    TOO_LARGE = 'client_too_large'
    TOO_SLOW = 'client_too_slow'
    MALFORMED = 'client_malformed'
    UNREAD = 'client_unread'
    PAUSED = 'client_paused'


LOSS_BY_STATUS = MappingProxyType(
    {
        400: Loss.MALFORMED,
        408: Loss.TOO_SLOW,
        413: Loss.TOO_LARGE,
        431: Loss.TOO_LARGE,
    }
)


@dataclass(slots=True)
class Losses:
    """
    Counts of losses by place, and of the clients' addresses that had them.

    ``counts`` are those not yet counted elsewhere, ``logged`` and ``hosts``
    those not yet logged. A few addresses are named, the rest are one number.
    Clients that only had to wait are not named, so that the others are.
    """

    counts: Counter[tuple[Loss, Place]] = field(default_factory=Counter)
    logged: Counter[tuple[Loss, Place]] = field(default_factory=Counter)
    hosts: Counter[str] = field(default_factory=Counter)

    def note(self, loss: Loss, place: Place, host: str) -> None:
        """
        Count a loss.

        >>> losses = Losses()
        >>> for number in range(20):
        ...     losses.note(Loss.CUT, Place.CALLERS, f'192.0.2.{number}')
        >>> len(losses.hosts), losses.hosts['others']
        (9, 12)
        """
        self.counts[loss, place] += 1
        if loss is Loss.PAUSED:
            return
        is_named = host in self.hosts or len(self.hosts) < _MOST_HOSTS
        self.hosts[host if is_named else _OTHER_HOSTS] += 1

    @property
    def has_given_way(self) -> bool:
        """Return whether a client to be logged did more than wait."""
        return any(loss is not Loss.PAUSED for loss, _ in self.logged)

    def move_to_log(self) -> None:
        """Keep what has been counted elsewhere for the log alone."""
        self.logged.update(self.counts)
        self.counts.clear()

    def take_logged(
        self,
    ) -> tuple[dict[str, int], dict[str, int]]:
        """Return the losses and the addresses to log, and forget them."""
        logged = {
            f'{loss.value} {place.value}': count
            for (loss, place), count in self.logged.items()
        }
        hosts = dict(self.hosts)
        self.logged.clear()
        self.hosts.clear()
        return logged, hosts
