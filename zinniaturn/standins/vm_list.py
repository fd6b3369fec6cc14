"""
A stand-in of the platform's VM list.

Changes show only after the lag. A control call adds, changes or removes VMs,
takes the list out or changes its lag.
"""

__all__ = ('VmListStandIn',)

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import msgspec
from aiohttp import web
from pydantic import BaseModel, ConfigDict

from zinniaturn.standins.loopback import LoopbackService
from zinniaturn.vmlist.port import ListedVm, VmState


class VmModel(BaseModel):
    """A VM as control calls name it; without a state it is removed."""

    model_config = ConfigDict(extra='forbid')

    name: str
    host: str = '127.0.0.1'
    state: VmState | None = None
    data_center: str = ''


class VmListFaultsModel(BaseModel):
    """A change of the faults; what is left out stays as it is."""

    model_config = ConfigDict(extra='forbid')

    is_out: bool | None = None
    lag_seconds: float | None = None


@dataclass
class VmListStandIn:
    """The list; `start` it, then use `url`."""

    lag_seconds: float = 1
    is_out: bool = False
    vms: dict[str, ListedVm] = field(default_factory=dict)
    visible_vms: Mapping[str, ListedVm] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Prepare the application."""
        application = web.Application()
        router = application.router
        router.add_get('/v1/vms', self.handle_read)
        router.add_put('/control/vms', self.handle_change)
        router.add_put('/control/faults', self.handle_faults)
        self.loopback_service = LoopbackService(application)

    @property
    def url(self) -> str:
        """Return the address for clients."""
        return f'http://127.0.0.1:{self.loopback_service.port}'

    async def start(self, port: int = 0) -> None:
        """Listen."""
        await self.loopback_service.start(port)

    async def stop(self) -> None:
        """Stop at once."""
        await self.loopback_service.stop()

    def put(self, vm: ListedVm) -> None:
        """Add or change a VM; it shows after the lag."""
        self.vms[vm.name] = vm
        self._publish_after_lag()

    def remove(self, name: str) -> None:
        """Remove a VM; it goes on showing for the lag."""
        self.vms.pop(name, None)
        self._publish_after_lag()

    async def handle_read(self, request: web.Request) -> web.Response:
        """Answer with the list as it was a lag ago."""
        if self.is_out:
            return web.Response(status=int(HTTPStatus.SERVICE_UNAVAILABLE))
        return web.Response(
            body=msgspec.json.encode(tuple(self.visible_vms.values())),
            content_type='application/json',
        )

    async def handle_change(self, request: web.Request) -> web.Response:
        """Change one VM."""
        model = VmModel.model_validate(await request.json())
        if model.state is None:
            self.remove(model.name)
        else:
            self.put(
                ListedVm(
                    model.name,
                    model.host,
                    model.state,
                    model.data_center,
                ),
            )
        return web.json_response({})

    async def handle_faults(self, request: web.Request) -> web.Response:
        """Change the faults."""
        requested_change = VmListFaultsModel.model_validate(
            await request.json()
        )
        for name, new_value in requested_change.model_dump(
            exclude_none=True
        ).items():
            setattr(self, name, new_value)
        return web.json_response({})

    def _publish_after_lag(self) -> None:
        vms_at_change = dict(self.vms)
        asyncio.get_running_loop().call_later(
            self.lag_seconds,
            self._publish,
            vms_at_change,
        )

    def _publish(self, vms_at_change: dict[str, ListedVm]) -> None:
        self.visible_vms = vms_at_change
