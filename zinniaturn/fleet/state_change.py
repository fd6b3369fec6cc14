"""The difference that a snapshot makes to the state that a VM holds."""

__all__ = ('StateChange', 'describe_servers')

from collections.abc import Mapping
from dataclasses import dataclass

from zinniaturn.fleet.domain import RegisteredServer


@dataclass(frozen=True, slots=True)
class StateChange:
    """
    The difference that a snapshot made to the state.

    ``refused`` says why the snapshot or its document was not used. With
    ``store_went_back`` the store has come back from an older copy.
    ``evacuated`` and ``returned`` are data centres whose servers get no more
    requests, or get them again. ``cooled`` are servers whose running processes
    have become cold.
    """

    revision: int
    tables_revision: int | None = None
    joined: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    refused: str = ''
    listed_vms_changed: bool = False
    store_went_back: bool = False
    evacuated: tuple[str, ...] = ()
    returned: tuple[str, ...] = ()
    cooled: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Return whether anything has changed."""
        changed = self.joined or self.leaving or self.gone or self.refused
        has_tables = self.tables_revision is not None
        has_other = self.listed_vms_changed or self.store_went_back
        has_moved = bool(self.evacuated or self.returned or self.cooled)
        return bool(changed) or has_tables or has_other or has_moved


def describe_servers(
    change: StateChange,
    previous: Mapping[str, RegisteredServer],
    servers: Mapping[str, RegisteredServer],
) -> StateChange:
    """Return the change with the servers that differ."""
    return StateChange(
        change.revision,
        change.tables_revision,
        _joined(previous, servers),
        _newly_leaving(previous, servers),
        tuple(name for name in previous if name not in servers),
        change.refused,
        change.listed_vms_changed,
        change.store_went_back,
        cooled=change.cooled,
    )


def _joined(
    previous: Mapping[str, RegisteredServer],
    servers: Mapping[str, RegisteredServer],
) -> tuple[str, ...]:
    return tuple(
        name
        for name, registered in servers.items()
        if name not in previous
        or previous[name].started_ms != registered.started_ms
    )


def _newly_leaving(
    previous: Mapping[str, RegisteredServer],
    servers: Mapping[str, RegisteredServer],
) -> tuple[str, ...]:
    return tuple(
        name
        for name, registered in servers.items()
        if registered.server.leaving
        and not (name in previous and previous[name].server.leaving)
    )
