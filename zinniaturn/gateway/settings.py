"""The settings of the gateway process, whatever their source."""

__all__ = ('FleetBounds', 'GatewaySettings')

from dataclasses import dataclass, field

from zinniaturn.http1.connections import Address


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """
    What the whole fleet has to keep, in seconds where not said otherwise.

    ``leaving_seconds`` is the time after which a leaving server gets no new
    request, ``tables_seconds`` the time after which tables are in force.
    Second sends to a pool are ``second_send_ratio`` of its requests and
    ``second_send_fixed`` more in any ``second_send_window_seconds``.
    ``probes_per_second`` bounds the probes of one server.
    """

    leaving_seconds: float = 2.0
    tables_seconds: float = 2.0
    stop_seconds: float = 6.0
    lookup_seconds: float = 5.0
    retry_ratio: float = 0.2
    retry_fixed: float = 50.0
    retry_window_seconds: float = 10.0
    probes_per_second: float = 60.0

    @property
    def follow_seconds(self) -> float:
        """Return how soon a change in the store must be acted upon."""
        return min(self.leaving_seconds, self.tables_seconds)


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """
    One gateway process.

    ``front``, ``readiness`` and ``directory`` are what it listens on, or
    ``None`` for what it doesn't serve; ``first_port`` is the first of the
    ports for traffic between VMs. ``metrics_port`` is 0 for none.
    ``processor_share`` is what a thread gets of a core and ``link_megabits``
    the link's, a second; both are 0 where they are not known.
    """

    name: str
    host: str
    data_center: str
    store: Address
    front: Address | None = None
    readiness: Address | None = None
    directory: Address | None = None
    first_port: int = 0
    metrics_port: int = 0
    processor_share: float = 0
    link_megabits: float = 0
    bounds: FleetBounds = field(default_factory=FleetBounds)
