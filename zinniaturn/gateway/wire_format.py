"""
The interface by which the gateway reads and writes headers and paths.

The platform's adapter implements it, so that no other package depends on the
platform's names.
"""

__all__ = ('LookupQuery', 'WireFormat')

from dataclasses import dataclass
from typing import Protocol

from zinniaturn.admission.statement import ServerStatement
from zinniaturn.http1.messages import Fields, Request, Response


@dataclass(frozen=True, slots=True)
class LookupQuery:
    """The host to look up and the data centre of the caller that asks."""

    host: str
    data_center: str


class WireFormat(Protocol):
    """Encodes and decodes what requests and responses say in headers."""

    response_id_field: bytes

    def request_id(self, fields: Fields) -> bytes | None:
        """Return the id that the caller gave the request, if any."""

    def tenant_key(self, fields: Fields) -> bytes:
        """Return the secret key of a tenant, empty if there is none."""

    def passed_on_fields(
        self, fields: Fields, *, keeps_key: bool, has_tenants: bool
    ) -> Fields:
        """
        Return a request's fields as another VM gets them.

        Without ``keeps_key`` they hold no tenant's key, and with
        ``has_tenants`` not the tenant that the caller names.
        """

    def caller_timeout_seconds(self, fields: Fields) -> float | None:
        """Return the caller's timeout, if it states one."""

    def server_request(
        self,
        request: Request,
        server: str,
        seconds_left: float,
        tenant: str | None = None,
    ) -> bytes:
        """
        Return the head of the request as it is sent to a certain server.

        The server is told the ``tenant``, which is empty for a request of none
        and ``None`` where no tenants are configured. It is not told a tenant's
        key; without tenants the fields of that name are the application's own.
        """

    def load_probe_request(self, path: str, host: str) -> bytes:
        """Return a request that probes a server for its load."""

    def statement(self, response: Response) -> ServerStatement:
        """Return what a response says of the server that sent it."""

    def is_not_run(self, response: Response) -> bool:
        """Return whether the server states that the request did not run."""

    def is_misdirected(self, response: Response) -> bool:
        """Return whether the request reached a server it was not meant for."""

    def is_authentic(self, response: Response) -> bool:
        """Return whether a success is signed by its server and not encoded."""

    def caller_response(self, response: Response) -> Response:
        """Return a server's response as it is forwarded to the caller."""

    def lookup_query(self, request: Request) -> LookupQuery | None:
        """Return the look-up that a request asks for, or ``None``."""

    def lookup_response(self, fronts: list[str], seconds: float) -> Response:
        """Return a look-up's response; callers may use it for ``seconds``."""

    def is_readiness_check(self, request: Request) -> bool:
        """Return whether the request is a readiness check."""
