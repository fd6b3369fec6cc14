"""Tells operators where a request would go now, without sending it."""

__all__ = ('WHERE_PATH', 'WhereEndpoint')

from dataclasses import dataclass

from zinniaturn.gateway.dispatch import Dispatcher
from zinniaturn.gateway.endpoints import LookupEndpoint
from zinniaturn.gateway.operator_responses import (
    not_ready,
    read_query,
    respond_json,
)
from zinniaturn.gateway.where_answer import LookUpView
from zinniaturn.gateway.where_decision import WhereQuery, decide_where
from zinniaturn.http1.messages import Request, Response

WHERE_PATH = '/where'
_PARAMETERS = frozenset(('host', 'path', 'method', 'data_center', 'tenant'))


@dataclass(slots=True)
class WhereEndpoint:
    """Serves ``GET /where`` with a request's description as parameters."""

    dispatcher: Dispatcher
    look_ups: LookupEndpoint

    def handle(self, request: Request) -> Response | None:
        """Return the response, ``None`` if the target is another one."""
        path, _, query = request.target.partition(b'?')
        if path != WHERE_PATH.encode():
            return None
        if request.method != b'GET':
            return Response(405, b'', [(b'Allow', b'GET')])
        given = read_query(query)
        if not given.keys() <= _PARAMETERS or 'path' not in given:
            return respond_json({'code': 'bad-request'}, 400)
        asked = WhereQuery(**{'host': '', **given})
        answer = decide_where(self.dispatcher, asked)
        if answer is None:
            return not_ready()
        if asked.data_center:
            answer.look_ups = self._view_look_ups(asked.data_center)
        return respond_json(answer)

    def _view_look_ups(self, data_center: str) -> LookUpView:
        """Return what the last look-up at this VM was answered by."""
        local = self.look_ups.local
        state = self.look_ups.state
        demand = state.fleet_request_rate()
        share = local.shares.get(data_center)
        is_own_first = self.look_ups.prefers_own(data_center, demand)
        return LookUpView(
            data_center,
            len(local.selected),
            len(local.by_data_center.get(data_center, ())),
            share.share if share is not None and is_own_first else None,
            any(vm.name == state.settings.name for vm in local.selected),
        )
