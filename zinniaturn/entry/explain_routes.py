"""Admin endpoint that serves ``zinniaturn explain``."""

__all__ = ('add_explain_routes',)

from http import HTTPStatus

import msgspec
from aiohttp import web

from zinniaturn.entry.state import EntryState
from zinniaturn.explain.messages import explain_subject
from zinniaturn.explain.queries import Subject, SubjectKind

_KINDS = frozenset(kind.value for kind in SubjectKind)


def add_explain_routes(router: web.UrlDispatcher, state: EntryState) -> None:
    """Add the handler to the admin application."""

    async def handle_explain(request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        if kind not in _KINDS:
            return web.Response(status=int(HTTPStatus.NOT_FOUND))
        subject = Subject(SubjectKind(kind), request.match_info['name'])
        explanation = explain_subject(
            state.recorder, state.settings.name, subject
        )
        return web.Response(
            body=msgspec.json.encode(explanation),
            content_type='application/json',
        )

    router.add_get('/explain/{kind}/{name}', handle_explain)
