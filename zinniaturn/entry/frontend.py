"""Handles one request of a caller, from routing to its response."""

__all__ = ('Frontend',)

from aiohttp import web

from zinniaturn.entry.addresses import handle_addresses
from zinniaturn.entry.at_most_once import AtMostOnceRunner, IncomingRequest
from zinniaturn.entry.bodies import expects_continue
from zinniaturn.entry.dispatch import Dispatcher
from zinniaturn.entry.exceptions import BadRequestError
from zinniaturn.entry.key_issuing import KEYS_PATH, handle_keys
from zinniaturn.entry.requests import parse_request
from zinniaturn.entry.responses import make_rejection
from zinniaturn.entry.state import EntryState
from zinniaturn.entry.targets import RequestTarget, parse_target
from zinniaturn.forwarding import ExchangeError
from zinniaturn.outcomes import Outcome
from zinniaturn.store import ConfigurationStore
from zinniaturn.tables import Route

ADDRESSES_PATH = '/v1/entries'

_TUNNEL_METHOD = 'CONNECT'


class Frontend:
    """Responds to callers' requests."""

    def __init__(self, state: EntryState, store: ConfigurationStore) -> None:
        self.state = state
        self.dispatcher = Dispatcher(state)
        self.runner = AtMostOnceRunner(state, self.dispatcher, store)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to one request."""
        self.state.requests_in_flight += 1
        try:
            response = await self._respond(request)
            if self.state.is_closing and not response.prepared:
                response.force_close()
            return _close_if_body_unread(request, response)
        except ExchangeError:
            return _abort_connection(request)
        finally:
            self.state.requests_in_flight -= 1

    def count_protocol_failure(self, outcome: Outcome) -> None:
        """Count a request that failed in the protocol, before any handler."""
        self.state.metrics.count('', outcome.value)

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method == _TUNNEL_METHOD:
            return self._reject(
                request, '', 'no-tunnel', 'CONNECT is not served'
            )
        try:
            target = parse_target(
                request.raw_path,
                request.headers.get('Host', ''),
            )
        except BadRequestError as error:
            return self._reject(request, '', error.code, error.message)
        if target.path == ADDRESSES_PATH:
            return handle_addresses(self.state)
        if target.path == KEYS_PATH:
            return handle_keys(
                self.runner, target.origin_form.partition('?')[2]
            )
        if not self.state.installed.tables.revision:
            return self._reject(
                request,
                '',
                'not-ready',
                'no tables were found yet',
                1,
            )
        route = self.state.matcher.find(
            target.host,
            target.path,
            request.method,
        )
        if route is None:
            return self._reject(request, '', 'no-route', 'see the route table')
        return await self._run_routed(request, target, route)

    async def _run_routed(
        self,
        request: web.BaseRequest,
        target: RequestTarget,
        route: Route,
    ) -> web.StreamResponse:
        # Routes and pools are replaced together. The pool is looked up before
        # the body is read, since a new revision may be installed meanwhile.
        pool = self.state.pools[route.pool]
        try:
            parsed = await parse_request(
                request,
                target,
                route,
                self.state.clock,
            )
        except BadRequestError as error:
            return self._reject(request, route.pool, error.code, error.message)
        try:
            return await self.runner.run(IncomingRequest(request, parsed, pool))
        except BadRequestError as error:
            return self._reject(
                request,
                route.pool,
                error.code,
                error.message,
            )

    def _reject(
        self,
        request: web.BaseRequest,
        pool: str,
        code: str,
        detail: str,
        retry_after_seconds: float | None = None,
    ) -> web.Response:
        outcome = self.runner.outcome_before_key_lookup(request)
        self.state.metrics.count(pool, outcome.value)
        return make_rejection(
            code,
            outcome,
            detail,
            '',
            retry_after_seconds,
        )


def _abort_connection(request: web.BaseRequest) -> web.Response:
    """
    Abort the connection, so that no truncated response is taken as whole.

    The returned response is never sent.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _close_if_body_unread(
    request: web.BaseRequest,
    response: web.StreamResponse,
) -> web.StreamResponse:
    """Close the connection if the caller still holds back its body."""
    if expects_continue(request) and not request.content.at_eof():
        if not response.prepared:
            response.force_close()
    return response
