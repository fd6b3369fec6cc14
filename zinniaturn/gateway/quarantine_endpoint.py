"""Tells operators which requests are held, and lifts a verdict for them."""

__all__ = ('HeldRequest', 'LiftResult', 'QuarantineEndpoint')

from dataclasses import dataclass

import msgspec

from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.messages import Request, Response
from zinniaturn.quarantine.request_key import format_key, parse_key
from zinniaturn.quarantine.verdicts import Standing

QUARANTINE_PATH = b'/quarantine'
_LIFT_PREFIX = b'/quarantine/'
_JSON_TYPE = (b'Content-Type', b'application/json')


class HeldRequest(msgspec.Struct):
    """
    A request that is suspected or held.

    ``crashes`` of its runs have ended a server and ``completions`` ended well.
    It may be tried again after ``held_seconds``, 0 if it is only suspected.
    ``witnesses`` are VMs that found that the servers had ended.
    """

    key: str
    is_held: bool
    held_seconds: float
    crashes: int
    completions: int
    servers: tuple[str, ...]
    witnesses: list[str]


class LiftResult(msgspec.Struct):
    """Whether a request had been suspected or held."""

    key: str
    was_known: bool


@dataclass(slots=True)
class QuarantineEndpoint:
    """
    Serves ``GET /quarantine`` and ``DELETE /quarantine/KEY``.

    A lifted verdict is told to all VMs. The request runs until it has ended
    three more servers.
    """

    state: GatewayState

    def handle(self, request: Request) -> Response | None:
        """Return the response, ``None`` if the target is another one."""
        if request.target == QUARANTINE_PATH and request.method == b'GET':
            return _respond(200, self._suspected())
        if request.target.startswith(_LIFT_PREFIX):
            if request.method == b'DELETE':
                return self._lift(request.target.removeprefix(_LIFT_PREFIX))
            return Response(405, b'', [(b'Allow', b'DELETE')])
        return None

    def _suspected(self) -> list[HeldRequest]:
        quarantine = self.state.quarantine
        quarantine.update()
        return [
            self._describe(standing)
            for standing in quarantine.standings.values()
            if standing.is_suspected
        ]

    def _describe(self, standing: Standing) -> HeldRequest:
        quarantine = self.state.quarantine
        left = standing.held_until - quarantine.clock.monotonic()
        return HeldRequest(
            format_key(standing.key),
            standing.is_held,
            round(max(0, left), 1) if standing.is_held else 0,
            len(standing.moments),
            standing.completions,
            standing.servers,
            quarantine.witnesses(standing.key),
        )

    def _lift(self, text: bytes) -> Response:
        try:
            key = parse_key(text.decode('latin-1'))
        except ValueError:
            return Response(400, b'', [])
        quarantine = self.state.quarantine
        was_known = quarantine.standing(key) is not None
        self.state.gossip.crash_news.report_lift(
            key, quarantine.clock.monotonic()
        )
        quarantine.update()
        return _respond(200, LiftResult(format_key(key), was_known))


def _respond(status: int, content: object) -> Response:
    return Response(status, b'', [_JSON_TYPE], msgspec.json.encode(content))
