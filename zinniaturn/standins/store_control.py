"""
Control endpoints of the simulated store.

Experiments with real processes use them to inject faults, to save a copy of
the store's state and to reset the store to that copy or to empty.
"""

__all__ = ('StoreControl',)

import copy
from typing import TYPE_CHECKING, Literal

from aiohttp import web
from pydantic import BaseModel, ConfigDict

if TYPE_CHECKING:
    from zinniaturn.standins.store import StoredValue, StoreStandIn


class FaultsModel(BaseModel):
    """A partial update of the faults; omitted fields keep their values."""

    model_config = ConfigDict(extra='forbid')

    is_out: bool | None = None
    lose_write_replies: bool | None = None
    lost_replies: int | None = None
    latency_seconds: float | None = None
    cut_off: set[str] | None = None


class ResetModel(BaseModel):
    """A reset of the store's state to the saved copy or to empty."""

    model_config = ConfigDict(extra='forbid')

    to: Literal['copy', 'empty']


class StoreControl:
    """HTTP handlers of the control endpoints."""

    def __init__(self, store: 'StoreStandIn') -> None:
        self.store = store
        self.saved_values: dict[str, StoredValue] = {}

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the control endpoints."""
        router.add_put('/control/faults', self.handle_faults)
        router.add_post('/control/copy', self.handle_copy)
        router.add_post('/control/reset', self.handle_reset)
        router.add_get('/control/counters', self.handle_counters)

    async def handle_faults(self, request: web.Request) -> web.Response:
        """Update the faults."""
        requested_change = FaultsModel.model_validate(await request.json())
        for name, new_value in requested_change.model_dump(
            exclude_none=True
        ).items():
            setattr(self.store.faults, name, new_value)
        return web.json_response({})

    async def handle_copy(self, request: web.Request) -> web.Response:
        """Save a copy of the state."""
        self.saved_values = copy.deepcopy(self.store.values)
        return web.json_response({'keys': len(self.saved_values)})

    async def handle_reset(self, request: web.Request) -> web.Response:
        """Reset the state to the saved copy or to empty."""
        reset = ResetModel.model_validate(await request.json())
        self.store.values.clear()
        if reset.to == 'copy':
            self.store.values.update(copy.deepcopy(self.saved_values))
        self.store.wake_watches()
        return web.json_response({'keys': len(self.store.values)})

    async def handle_counters(self, request: web.Request) -> web.Response:
        """Return the call counters and the size of the stored data."""
        calls = self.store.calls
        return web.json_response(
            {
                'reads': calls.reads,
                'writes': calls.writes,
                'bytes_read': calls.bytes_read,
                'bytes_written': calls.bytes_written,
                'keys': len(self.store.values),
                'bytes_stored': self.store.stored_bytes(),
            },
        )
