"""The settings of the gateway process, independent of their source."""

__all__ = ('FleetBounds', 'GatewaySettings')

from dataclasses import dataclass, field

from zinniaturn.http1.connections import Address
from zinniaturn.locality.activation import Activation, LocalityMode
from zinniaturn.locality.weights import LocalityWeights
from zinniaturn.tenants import RevocationRule
from zinniaturn.tenants.allowance import AllowanceBounds


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

    With ``fail_closed`` no request whose key was withdrawn runs later than
    ``revoke_seconds`` after that. ``evacuate_seconds`` is the time after which
    the servers of an evacuated data centre get no request, 0 where data centres
    aren't evacuated. A tenant's requests in any ``allowance_window_seconds``
    may be its allowance, ``allowance_overage`` of it and ``allowance_slack``
    more. A cold server's requests in any second may be ``warm_up_overage``
    times what its pool names and ``warm_up_slack`` more; 0 for both means no
    bound.
    """

    leaving_seconds: float = 2.0
    tables_seconds: float = 2.0
    stop_seconds: float = 6.0
    lookup_seconds: float = 5.0
    retry_ratio: float = 0.2
    retry_fixed: float = 50.0
    retry_window_seconds: float = 10.0
    probes_per_second: float = 60.0
    fail_closed: bool = False
    revoke_seconds: float = 5.0
    evacuate_seconds: float = 0
    allowance_window_seconds: float = 5.0
    allowance_overage: float = 0
    allowance_slack: float = 0
    warm_up_overage: float = 0
    warm_up_slack: float = 0

    @property
    def follows_evacuations(self) -> bool:
        """Return whether data centres can be evacuated."""
        return self.evacuate_seconds > 0

    @property
    def revocation(self) -> RevocationRule:
        """Return the rule by which withdrawn keys are refused in time."""
        return RevocationRule(self.fail_closed, self.revoke_seconds)

    @property
    def allowance(self) -> AllowanceBounds:
        """Return the bounds of tenants' allowances."""
        return AllowanceBounds(
            self.allowance_window_seconds,
            self.allowance_overage,
            self.allowance_slack,
        )

    @property
    def follow_seconds(self) -> float:
        """Return how soon a change in the store must take effect."""
        return min(
            self.leaving_seconds,
            self.tables_seconds,
            self.evacuate_seconds or self.tables_seconds,
        )


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """
    The settings of one gateway process.

    It listens for callers' requests on ``front``, for readiness checks on
    ``readiness`` and for callers' address look-ups on ``directory``; ``None``
    means that it does not serve them. ``first_port`` is the first of the ports
    for traffic between VMs. ``metrics_port`` is 0 for none.
    ``is_first_start`` is set while all VMs start for the first time.
    ``processor_share`` is the share of a core that one thread gets,
    ``link_megabits`` the link's megabits per second, ``memory_megabytes`` what
    the process may use and ``max_descriptors`` how many files and sockets it
    may open; 0 means unknown. ``locality`` says what it counts for that a
    request leaves the data centre, and ``locality_mode`` whether it counts.
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
    memory_megabytes: float = 0
    max_descriptors: int = 0
    bounds: FleetBounds = field(default_factory=FleetBounds)
    locality: LocalityWeights = field(default_factory=LocalityWeights)
    locality_mode: LocalityMode = LocalityMode.AUTO

    def build_activation(self) -> Activation:
        """Return whether data centres count, before any is measured."""
        return Activation(self.locality_mode, self.bounds.follows_evacuations)
