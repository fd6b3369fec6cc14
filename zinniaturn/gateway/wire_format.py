"""
What the gateway needs to know of headers and paths on the wire.

The platform's adapter implements it; nothing else knows the names.
"""

__all__ = ('LookupQuery', 'WireFormat')

from dataclasses import dataclass
from typing import Protocol

from zinniaturn.choosing.reports import LoadReport
from zinniaturn.http1.messages import Fields, Request, Response


@dataclass(frozen=True, slots=True)
class LookupQuery:
    """What a caller says that asks for addresses."""

    host: str
    data_center: str


class WireFormat(Protocol):
    """Names and forms of requests and answers."""

    response_id_field: bytes

    def request_id(self, fields: Fields) -> bytes | None:
        """Return the id that a caller gave its request."""

    def caller_timeout_seconds(self, fields: Fields) -> float | None:
        """Return how long the caller says it will wait."""

    def server_request(
        self,
        request: Request,
        server: str,
        seconds_left: float,
    ) -> bytes:
        """Return the bytes of a request for one server."""

    def load_probe_request(self, path: str, host: str) -> bytes:
        """Return the bytes of a request for a server's load."""

    def load_report(self, answer: Response) -> LoadReport | None:
        """Return what an answer says of its server's load."""

    def responding_server(self, answer: Response) -> str | None:
        """Return the name of the server that answered, if it says so."""

    def is_not_run(self, answer: Response) -> bool:
        """Return whether the server says that it did not run the request."""

    def is_misdirected(self, answer: Response) -> bool:
        """Return whether another server than the one meant has answered."""

    def is_authentic(self, answer: Response) -> bool:
        """Return whether a success bears its server's mark, unaltered."""

    def caller_response(self, answer: Response) -> Response:
        """Return a server's answer as the caller gets it."""

    def lookup_query(self, request: Request) -> LookupQuery | None:
        """Return what is asked for, or ``None`` for another request."""

    def lookup_response(self, fronts: list[str], seconds: float) -> Response:
        """Return the answer to a look-up."""

    def is_readiness_check(self, request: Request) -> bool:
        """Return whether the request asks for readiness."""
