"""Encodes and decodes the headers and paths of the platform's HTTP messages."""

__all__ = ('PlatformWireFormat',)

from urllib.parse import parse_qs

import msgspec

from zinniaturn.admission.statement import ServerStatement
from zinniaturn.gateway.wire_format import LookupQuery
from zinniaturn.http1.messages import (
    Fields,
    Request,
    Response,
    encode_request_head,
    end_to_end_fields,
    find_field,
)
from zinniaturn.platform.statements import (
    STATEMENT_FIELDS,
    decode_statement,
)

# The id that a caller gives one attempt; the server echoes it.
_REQUEST_ID = b'x-attempt-id'
# The milliseconds for which the sender still waits: a timeout, not a deadline.
_TIME_LEFT = b'x-request-deadline-ms'
# The server that a request is meant for; any other server responds with 421.
_EXPECTED_SERVER = b'x-expect-instance'
_NOT_RUN = b'x-not-executed'
# The server's signature of a response, which is forwarded to the caller.
_SIGNATURE = b'x-upstream-signature'
# The secret by which a tenant's request is known.
_TENANT_KEY = b'api-key'
# The name of the tenant, which servers trust.
_TENANT_NAME = b'x-tenant'

_REPLACED_REQUEST_FIELDS = frozenset(
    (
        _TIME_LEFT,
        _EXPECTED_SERVER,
        b'accept-encoding',
        b'content-length',
    ),
)
# Some servers take an underscore in a field's name for a hyphen.
_TENANT_NAMES = frozenset((_TENANT_NAME, b'x_tenant'))
_TENANT_KEYS = frozenset((_TENANT_KEY, b'api_key'))
_FIELDS_WITH_TENANTS = _REPLACED_REQUEST_FIELDS | _TENANT_NAMES | _TENANT_KEYS
_DROPPED_RESPONSE_FIELDS = STATEMENT_FIELDS | {b'content-length'}
_NOTHING: frozenset[bytes] = frozenset()
_MISDIRECTED = 421
_MILLISECONDS_PER_SECOND = 1000
_LONGEST_TIMEOUT_MS = 10**9
_UNLIMITED = b'inf'
_JSON_CONTENT_TYPE = (b'Content-Type', b'application/json')


class PlatformWireFormat:
    """Implements the gateway's `WireFormat` with the platform's names."""

    response_id_field = _REQUEST_ID

    def request_id(self, fields: Fields) -> bytes | None:
        """Return the id that the caller gave the request, if any."""
        return find_field(fields, _REQUEST_ID)

    def tenant_key(self, fields: Fields) -> bytes:
        """Return the secret key of a tenant, empty if there is none."""
        return find_field(fields, _TENANT_KEY) or b''

    def passed_on_fields(
        self, fields: Fields, *, keeps_key: bool, has_tenants: bool
    ) -> Fields:
        """
        Return a request's fields as another VM gets them.

        Without ``keeps_key`` they hold no tenant's key, and with
        ``has_tenants`` not the tenant that the caller names.
        """
        dropped = _TENANT_NAMES if has_tenants else _NOTHING
        if not keeps_key:
            dropped |= {_TENANT_KEY}
        return [field for field in fields if field[0].lower() not in dropped]

    def caller_timeout_seconds(self, fields: Fields) -> float | None:
        """
        Return the caller's timeout, if it states one that can be read.

        Callers without a timeout state one that no request lasts, or an
        infinite one.
        """
        text = find_field(fields, _TIME_LEFT)
        try:
            milliseconds = float(text or _UNLIMITED)
        except ValueError:
            return None
        if not -_LONGEST_TIMEOUT_MS < milliseconds < _LONGEST_TIMEOUT_MS:
            return None
        return max(0, milliseconds) / _MILLISECONDS_PER_SECOND

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
        dropped = _REPLACED_REQUEST_FIELDS
        if tenant is not None:
            dropped = _FIELDS_WITH_TENANTS
        fields = end_to_end_fields(request.fields, dropped)
        if tenant:
            fields.append((b'X-Tenant', tenant.encode()))
        milliseconds = max(1, int(seconds_left * _MILLISECONDS_PER_SECOND))
        fields.append((b'X-Request-Deadline-Ms', b'%d' % milliseconds))
        fields.append((b'X-Expect-Instance', server.encode()))
        return encode_request_head(request, fields)

    def load_probe_request(self, path: str, host: str) -> bytes:
        """Return a request that probes a server for its load."""
        return b'GET %b HTTP/1.1\r\nHost: %b\r\n\r\n' % (
            path.encode(),
            host.encode(),
        )

    def statement(self, response: Response) -> ServerStatement:
        """Return what a response says of the server that sent it."""
        return decode_statement(response)

    def is_not_run(self, response: Response) -> bool:
        """Return whether the server states that the request did not run."""
        return find_field(response.fields, _NOT_RUN) is not None

    def is_misdirected(self, response: Response) -> bool:
        """Return whether the request reached a server it was not meant for."""
        return response.status == _MISDIRECTED

    def is_authentic(self, response: Response) -> bool:
        """Return whether a success is signed by its server and not encoded."""
        is_signed = find_field(response.fields, _SIGNATURE) is not None
        is_plain = find_field(response.fields, b'content-encoding') is None
        return is_signed and is_plain

    def caller_response(self, response: Response) -> Response:
        """Return a server's response as it is forwarded to the caller."""
        fields = end_to_end_fields(response.fields, _DROPPED_RESPONSE_FIELDS)
        return Response(response.status, response.reason, fields, response.body)

    def lookup_query(self, request: Request) -> LookupQuery | None:
        """Return the look-up that a request asks for, or ``None``."""
        path, _, query = request.target.partition(b'?')
        if path != b'/resolve':
            return None
        parameters = parse_qs(query.decode('latin-1'))
        return LookupQuery(
            parameters.get('name', [''])[0],
            parameters.get('zone', [''])[0],
        )

    def lookup_response(self, fronts: list[str], seconds: float) -> Response:
        """Return a look-up's response; callers may use it for ``seconds``."""
        body = msgspec.json.encode({'addresses': fronts, 'ttl_s': seconds})
        return Response(200, b'', [_JSON_CONTENT_TYPE], body)

    def is_readiness_check(self, request: Request) -> bool:
        """Return whether the request is a readiness check."""
        return request.target.partition(b'?')[0] == b'/readyz'
