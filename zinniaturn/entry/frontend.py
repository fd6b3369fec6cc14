"""The caller-facing side: one request from its arrival to its answer."""

__all__ = ('Frontend',)

from aiohttp import web

from zinniaturn.entry.addresses import answer_addresses
from zinniaturn.entry.answers import make_refusal
from zinniaturn.entry.dispatch import Dispatcher
from zinniaturn.entry.exceptions import EntryError
from zinniaturn.entry.requests import parse_request
from zinniaturn.entry.state import EntryState
from zinniaturn.forwarding import ExchangeError
from zinniaturn.outcomes import Outcome
from zinniaturn.tables import find_route

ADDRESSES_PATH = '/v1/entries'


class Frontend:
    """Answers callers' requests."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.dispatcher = Dispatcher(state)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.state.requests_in_flight += 1
        try:
            return await self._answer(request)
        except ExchangeError:
            return _cut(request)
        finally:
            self.state.requests_in_flight -= 1

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == ADDRESSES_PATH:
            return answer_addresses(self.state)
        tables = self.state.holder.tables
        if not tables.revision:
            return self._refuse('', 'not-ready', 'no tables were found yet', 1)
        route = find_route(
            tables,
            request.host.partition(':')[0],
            request.path,
            request.method,
        )
        if route is None:
            return self._refuse('', 'no-route', 'see the route table')
        try:
            parsed = await parse_request(request, route, self.state.clock)
        except EntryError as error:
            return self._refuse(route.pool, error.code, error.message)
        return await self.dispatcher.run(request, parsed)

    def _refuse(
        self,
        pool: str,
        code: str,
        detail: str,
        retry_after_seconds: float | None = None,
    ) -> web.Response:
        self.state.metrics.count(pool, Outcome.NOT_RUN.value)
        return make_refusal(
            code,
            Outcome.NOT_RUN,
            detail,
            '',
            retry_after_seconds,
        )


def _cut(request: web.BaseRequest) -> web.Response:
    """
    Break the caller's connection, so that a cut answer does not look whole.

    The response returned can reach no one any more.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
