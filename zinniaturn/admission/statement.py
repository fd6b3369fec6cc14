"""What a backend server says of itself in a response."""

__all__ = ('ServerStatement',)

from dataclasses import dataclass

from zinniaturn.choosing.reports import LoadReport


@dataclass(frozen=True, slots=True)
class ServerStatement:
    """
    What one response says of the server that sent it.

    ``server`` is the name that the server gives, if it gives one, and
    ``is_healthy`` its verdict on its own health. ``limit`` is the rate of
    requests per second that it takes from all VMs together, ``None`` if it
    names none. With ``is_leaving`` it wants no further requests. Where it
    rejects a request, ``pause_seconds`` is for how long it wants none from this
    VM. ``warm_up_seconds`` is for how long it stays cold. ``unreadable`` lists
    those of the fields `limit`, `is_leaving`, `pause_seconds` and
    `warm_up_seconds` whose text has no meaning; nothing follows from these.
    """

    server: str | None = None
    load: LoadReport | None = None
    is_healthy: bool = True
    limit: float | None = None
    is_leaving: bool = False
    pause_seconds: float = 0
    unreadable: tuple[str, ...] = ()
    warm_up_seconds: float = 0
