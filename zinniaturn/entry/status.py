"""
Admin endpoints for the status of an entry and for its tables.

The tables can be read from an entry to restore a store that has lost them.
"""

__all__ = ('add_status_routes', 'readiness_reason')

from http import HTTPStatus

import msgspec
from aiohttp import web

from zinniaturn.entry.state import EntryState
from zinniaturn.status.models import (
    EntryStatus,
    LeaseStatus,
    PeerStatus,
    TablesResponse,
)


def readiness_reason(state: EntryState) -> str:
    """Return why the entry is not ready, or an empty string if it is."""
    if state.lifecycle.state == 'ready':
        return ''
    if state.lifecycle.state != 'starting':
        return f'the entry is {state.lifecycle.state}'
    if state.control is None:
        return 'no tables yet'
    store = 'does not answer' if state.control.watcher.is_out else 'has none'
    peers = len(state.control.table.reachable())
    return f'no tables yet: the store {store}, nor has any of {peers} peers'


def add_status_routes(router: web.UrlDispatcher, state: EntryState) -> None:
    """Add the handlers to the admin application."""

    async def handle_status(request: web.Request) -> web.Response:
        return _json(_status(state, request.query.get('change', '')))

    async def handle_tables(request: web.Request) -> web.Response:
        if not state.installed.head.revision:
            return web.Response(status=int(HTTPStatus.NOT_FOUND))
        installed = state.installed
        return _json(
            TablesResponse(installed.head, dict(installed.segment_texts()))
        )

    router.add_get('/status', handle_status)
    router.add_get('/tables', handle_tables)


def _status(state: EntryState, change_id: str) -> EntryStatus:
    control = state.control
    reason = readiness_reason(state)
    status = EntryStatus(
        name=state.settings.name,
        data_center=state.settings.data_center,
        state=state.lifecycle.state,
        is_ready=not reason,
        reason=reason,
        revision=state.installed.tables.revision,
        chain=state.installed.head.chain,
        knowledge_age=None,
        store_is_out=False,
        watches_store=False,
        lease=LeaseStatus(is_held=False, fencing=0),
        peers=[],
        has_change=state.installed.head.revision_of(change_id) is not None,
    )
    if control is not None:
        lease_keeper = control.reporter.lease_keeper
        status.knowledge_age = control.confirmed_age()
        status.store_is_out = control.watcher.is_out
        status.watches_store = control.watches_store()
        status.lease = LeaseStatus(
            lease_keeper.is_held(),
            lease_keeper.lease.fencing if lease_keeper.lease else 0,
        )
        status.peers = _peers(state)
    return status


def _peers(state: EntryState) -> list[PeerStatus]:
    if state.control is None:
        return []
    table = state.control.table
    now = state.clock.monotonic()
    states = table.states()
    return [
        PeerStatus(
            name=name,
            data_center=peer.member.data_center,
            state=states[name].value,
            heartbeat_age=round(now - peer.last_heartbeat_at, 3),
            admin=str(peer.member.admin),
        )
        for name, peer in sorted(table.known.items())
    ]


def _json(document: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(document),
        content_type='application/json',
    )
