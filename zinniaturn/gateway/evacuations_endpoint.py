"""Tells operators which data centres a VM knows to be evacuated."""

__all__ = (
    'EVACUATIONS_PATH',
    'EvacuationView',
    'EvacuationsAnswer',
    'EvacuationsEndpoint',
)

from collections import Counter
from dataclasses import dataclass

import msgspec

from zinniaturn.gateway.operator_responses import not_ready, respond_json
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.messages import Request, Response

EVACUATIONS_PATH = '/evacuations'


class EvacuationView(msgspec.Struct):
    """
    An evacuated data centre.

    This VM has known it for ``known_seconds``, which count the time in which it
    was suspended, since ``known_at`` by its own clock (Unix time).
    ``servers`` are those of the data centre. ``kept_seconds`` is set if the
    store has lost the evacuation: it ends then unless it is written again.
    """

    data_center: str
    known_seconds: float
    known_at: float
    servers: int
    kept_seconds: float | None


class EvacuationsAnswer(msgspec.Struct):
    """
    The evacuations that a VM knows, at most 256 and those it keeps.

    They have an effect only if they ``are_followed``. They were the store's
    ``age_seconds`` ago, and ``are_in_doubt`` while requests wait to hear of
    them.
    """

    vm: str
    are_followed: bool
    bound_seconds: float
    age_seconds: float
    are_in_doubt: bool
    evacuations: list[EvacuationView]


@dataclass(slots=True)
class EvacuationsEndpoint:
    """
    Serves ``GET /evacuations``.

    Work: a step for each server and evacuated data centre.
    """

    state: GatewayState

    def handle(self, request: Request) -> Response | None:
        """Return the response, ``None`` if the target is another one."""
        if request.target.partition(b'?')[0] != EVACUATIONS_PATH.encode():
            return None
        if request.method != b'GET':
            return Response(405, b'', [(b'Allow', b'GET')])
        if not self.state.fleet_state.evacuations.is_known:
            return not_ready()
        return respond_json(self._answer())

    def _answer(self) -> EvacuationsAnswer:
        evacuations = self.state.fleet_state.evacuations
        return EvacuationsAnswer(
            self.state.settings.name,
            evacuations.is_followed,
            evacuations.bound_seconds,
            round(evacuations.age_seconds, 3),
            self.state.evacuations_are_in_doubt(),
            self._views(),
        )

    def _views(self) -> list[EvacuationView]:
        fleet_state = self.state.fleet_state
        evacuations = fleet_state.evacuations
        clock = evacuations.clock
        now = clock.monotonic()
        kept = evacuations.kept_seconds()
        servers = Counter(
            registered.server.data_center
            for registered in fleet_state.servers.values()
        )
        views = []
        for name, since in sorted(evacuations.known_since.items()):
            seconds = round(now - since, 3)
            left = kept.get(name)
            views.append(
                EvacuationView(
                    name,
                    seconds,
                    round(clock.wall() - seconds, 3),
                    servers[name],
                    None if left is None else round(left, 3),
                )
            )
        return views
