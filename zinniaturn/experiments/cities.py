"""Fleet sizes and network delays of the two simulated cities."""

__all__ = ('CITIES', 'City', 'Service')

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

_MILLISECOND = 0.001


@dataclass(frozen=True, slots=True)
class Service:
    """A service and its number of backend servers."""

    name: str
    servers: int


@dataclass(frozen=True, slots=True)
class City:
    """A city's fleet; its network delays are one-way."""

    name: str
    services: tuple[Service, ...]
    slots: int
    data_centers: int
    data_center_delay_seconds: float
    client_delay_seconds: float
    entries: int = 13
    connect_seconds: float = _MILLISECOND


_RIGA = City(
    name='riga',
    services=(
        Service('card', 12),
        Service('ledger', 8),
        Service('extract', 6),
        Service('depreciation', 6),
    ),
    slots=4,
    data_centers=3,
    data_center_delay_seconds=_MILLISECOND,
    client_delay_seconds=_MILLISECOND,
)
_ULAANBAATAR = City(
    name='ulaanbaatar',
    services=(
        Service('chart', 15),
        Service('payment', 7),
        Service('export', 6),
        Service('booking', 6),
    ),
    slots=3,
    data_centers=3,
    data_center_delay_seconds=1.5 * _MILLISECOND,
    client_delay_seconds=3 * _MILLISECOND,
)

CITIES: Mapping[str, City] = MappingProxyType(
    {city.name: city for city in (_RIGA, _ULAANBAATAR)}
)
