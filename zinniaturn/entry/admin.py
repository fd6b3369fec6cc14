"""The admin HTTP application: health, readiness, metrics and status."""

__all__ = ('make_admin',)

from http import HTTPStatus

from aiohttp import web

from zinniaturn.entry.explain_routes import add_explain_routes
from zinniaturn.entry.gauges import update_gauges
from zinniaturn.entry.state import EntryState
from zinniaturn.entry.status import add_status_routes, readiness_reason


def make_admin(state: EntryState) -> web.Application:
    """Return the admin application."""
    admin = _Admin(state)
    application = web.Application()
    application.router.add_get('/health', admin.handle_health)
    application.router.add_get('/ready', admin.handle_readiness)
    application.router.add_get('/metrics', admin.handle_metrics)
    add_status_routes(application.router, state)
    add_explain_routes(application.router, state)
    return application


class _Admin:
    def __init__(self, state: EntryState) -> None:
        self.state = state

    async def handle_health(self, request: web.Request) -> web.Response:
        return web.json_response({'health': 'ok'})

    async def handle_readiness(self, request: web.Request) -> web.Response:
        is_ready = self.state.lifecycle.state == 'ready'
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return web.json_response(
            {
                'state': self.state.lifecycle.state,
                'revision': self.state.installed.tables.revision,
                'reason': readiness_reason(self.state),
            },
            status=status,
        )

    async def handle_metrics(self, request: web.Request) -> web.Response:
        update_gauges(self.state)
        content, headers = self.state.metrics.render(
            request.headers.getall('Accept', []),
        )
        return web.Response(body=content, headers=headers)
