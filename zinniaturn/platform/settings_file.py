"""
Reads the platform's settings file.

The platform renders it as JSON from ``deploy/settings.json``. Fields that are
not named here are ignored.
"""

__all__ = ('SETTINGS_VARIABLE', 'read_settings')

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from zinniaturn.errors import cause_of
from zinniaturn.gateway.settings import FleetBounds, GatewaySettings
from zinniaturn.http1.connections import Address, parse_address
from zinniaturn.locality.activation import LocalityMode
from zinniaturn.locality.weights import LocalityWeights
from zinniaturn.platform.exceptions import SettingsFileError

SETTINGS_VARIABLE = 'ZINNIATURN_SETTINGS'

_MILLISECONDS_PER_SECOND = 1000


class _Listen(msgspec.Struct):
    """The listening addresses, as HOST:PORT."""

    # For callers' requests.
    front: str | None = None
    readiness: str | None = None
    # For callers' address look-ups.
    directory: str | None = None


Figure = Annotated[float, msgspec.Meta(ge=0, le=10**9)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_534)]


class _Bounds(msgspec.Struct):
    """The bounds that the fleet has to keep."""

    # The time after which a leaving server gets no new request.
    drain_ms: Figure = 2000
    # The time after which a changed operator's document is in force.
    config_apply_ms: Figure = 2000
    # The seconds from SIGTERM to SIGKILL.
    grace_s: Figure = 6
    # The longest lifetime of a look-up's response that is taken into account.
    ttl_max_s: Figure = 5
    # Retries and hedged requests to a pool, as a share of its requests.
    retry_budget_ratio: Figure = 0.2
    # Retries and hedged requests that are allowed on top of the share.
    retry_min: Figure = msgspec.field(default=50, name='budget_min_retries')
    # The seconds over which the share and the number on top of it hold.
    budget_window_s: Figure = 10
    # The probes per second that one server may get from the whole fleet.
    probes_per_s: Figure = 60
    # Whether requests with withdrawn keys are refused rather than risked.
    fail_closed: bool = False
    # The time after which a request with a withdrawn key must not run.
    revoke_ms: Figure = 5000
    # The time after which an evacuated data centre gets no request.
    evacuate_ms: Figure = 0
    # The window over which a tenant's allowance holds, and what is tolerated
    # beyond it: a share of the allowance, and a number of requests.
    quota_window_s: Figure = 5
    quota_overage: Figure = 0
    quota_slack: Figure = 0
    # What a cold server tolerates beyond the rate that its pool names: a
    # factor of that rate, and a number of requests a second. Without both
    # nothing limits the requests to cold servers.
    warmup_overage: Figure | None = None
    warmup_slack: Figure | None = None


class _Limits(msgspec.Struct):
    """The VM's resources."""

    # The share of a core that one thread gets at most.
    cpu_share: Figure = 0
    link_mbps: Figure = 0
    memory_mb: Figure = 0
    max_fds: Annotated[int, msgspec.Meta(ge=0, le=10**9)] = 0


_DEFAULT_LOCALITY = LocalityWeights()


class _Locality(msgspec.Struct):
    """What it counts for that requests leave their data centre."""

    # Whether servers and VMs of the own data centre are preferred; `auto` is
    # where data centres are evacuated or far from each other.
    enabled: bool | Literal['auto', 'on', 'off'] = 'auto'
    # What a megabyte between data centres counts as.
    ms_per_mb: Figure = (
        _DEFAULT_LOCALITY.seconds_per_megabyte * _MILLISECONDS_PER_SECOND
    )
    # What a millisecond on the way counts as.
    ms_per_way_ms: Figure = _DEFAULT_LOCALITY.seconds_per_way_second
    # The round trip to another data centre, until it is measured.
    way_ms: Figure = _DEFAULT_LOCALITY.way_seconds * _MILLISECONDS_PER_SECOND


class _Store(msgspec.Struct):
    """The address of the platform's store."""

    address: str


class _SettingsFile(msgspec.Struct):
    """The fields of the file that are used."""

    node_name: str
    ip: str
    zone: str
    listen: _Listen
    port_range: tuple[Port, Port]
    platform: _Store
    # Whether the whole system starts for the first time.
    first_start: bool = False
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    locality: _Locality = msgspec.field(default_factory=_Locality)


_file_decoder = msgspec.json.Decoder(_SettingsFile)


def read_settings(path: str, metrics_port: int = 0) -> GatewaySettings:
    """Return the settings of a file; raises `SettingsFileError`."""
    try:
        file = _file_decoder.decode(Path(path).read_bytes())
        return _build_settings(file, metrics_port)
    except OSError as error:
        raise SettingsFileError(f'{path}: {error.strerror}') from error
    except (ValueError, RecursionError, OverflowError) as error:
        raise SettingsFileError(f'{path}: {cause_of(error)}') from error


def _build_settings(file: _SettingsFile, metrics_port: int) -> GatewaySettings:
    return GatewaySettings(
        name=file.node_name,
        host=file.ip,
        data_center=file.zone,
        store=parse_address(file.platform.address),
        front=_parse_optional_address(file.listen.front),
        readiness=_parse_optional_address(file.listen.readiness),
        directory=_parse_optional_address(file.listen.directory),
        first_port=file.port_range[0],
        metrics_port=metrics_port,
        is_first_start=file.first_start,
        processor_share=file.limits.cpu_share,
        link_megabits=file.limits.link_mbps,
        memory_megabytes=file.limits.memory_mb,
        max_descriptors=file.limits.max_fds,
        bounds=_build_bounds(file.bounds),
        locality=LocalityWeights(
            seconds_per_megabyte=file.locality.ms_per_mb
            / _MILLISECONDS_PER_SECOND,
            seconds_per_way_second=file.locality.ms_per_way_ms,
            way_seconds=file.locality.way_ms / _MILLISECONDS_PER_SECOND,
        ),
        locality_mode=_locality_mode(file.locality.enabled),
    )


def _locality_mode(enabled: bool | str) -> LocalityMode:
    if isinstance(enabled, bool):
        return LocalityMode.ON if enabled else LocalityMode.OFF
    return LocalityMode(enabled)


def _parse_optional_address(text: str | None) -> Address | None:
    return parse_address(text) if text else None


def _build_bounds(bounds: _Bounds) -> FleetBounds:
    return FleetBounds(
        leaving_seconds=bounds.drain_ms / _MILLISECONDS_PER_SECOND,
        tables_seconds=bounds.config_apply_ms / _MILLISECONDS_PER_SECOND,
        stop_seconds=bounds.grace_s,
        lookup_seconds=bounds.ttl_max_s,
        retry_ratio=bounds.retry_budget_ratio,
        retry_fixed=bounds.retry_min,
        retry_window_seconds=bounds.budget_window_s,
        probes_per_second=bounds.probes_per_s,
        fail_closed=bounds.fail_closed,
        revoke_seconds=bounds.revoke_ms / _MILLISECONDS_PER_SECOND,
        evacuate_seconds=bounds.evacuate_ms / _MILLISECONDS_PER_SECOND,
        allowance_window_seconds=bounds.quota_window_s,
        allowance_overage=bounds.quota_overage,
        allowance_slack=bounds.quota_slack,
        **_warm_up_bounds(bounds),
    )


def _warm_up_bounds(bounds: _Bounds) -> dict[str, float]:
    """Return the bounds of cold servers; one that is left out adds nothing."""
    overage, slack = bounds.warmup_overage, bounds.warmup_slack
    if overage is None and slack is None:
        return {}
    return {
        'warm_up_overage': 1 if overage is None else overage,
        'warm_up_slack': slack or 0,
    }
