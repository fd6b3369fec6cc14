"""The settings of the gateway process, independent of their source."""

__all__ = ('FleetBounds', 'GatewaySettings')

from dataclasses import dataclass, field

from zinniaturn.http1.connections import Address


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """
    Bounds that the fleet as a whole has to keep.

    ``leaving_seconds`` is the time after which a leaving server gets no new
    request, ``tables_seconds`` the time after which new tables are in force,
    ``stop_seconds`` the time limit for a graceful shutdown, and
    ``lookup_seconds`` the longest lifetime of a look-up's response. Retries
    and hedged requests to a pool may be ``retry_ratio`` of its requests and
    ``retry_fixed`` more in any ``retry_window_seconds``. ``probes_per_second``
    limits the probes that one server gets.
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
        """Return how soon a change in the store must take effect."""
        return min(self.leaving_seconds, self.tables_seconds)


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """
    The settings of one gateway process.

    It listens for callers' requests on ``front``, for readiness checks on
    ``readiness`` and for callers' address look-ups on ``directory``; ``None``
    means that it does not serve them. ``first_port`` is the first of the ports
    for traffic between VMs. ``metrics_port`` is 0 for none.
    ``is_first_start`` is set while all VMs start for the first time.
    ``processor_share`` is the share of a core that one thread gets and
    ``link_megabits`` the link's megabits per second; 0 means unknown.
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
    is_first_start: bool = False
    processor_share: float = 0
    link_megabits: float = 0
    bounds: FleetBounds = field(default_factory=FleetBounds)
