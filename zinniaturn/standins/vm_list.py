"""
Test double of the platform's VM list, which publishes changes with a lag.

Control calls add, change and remove VMs, make the list unavailable and set
the lag.
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
    """A VM in a control call; one without a state is removed."""

    model_config = ConfigDict(extra='forbid')

    name: str
    host: str = '127.0.0.1'
    state: VmState | None = None
    data_center: str = ''


class VmListFaultsModel(BaseModel):
    """A partial update of the faults; omitted fields keep their values."""

    model_config = ConfigDict(extra='forbid')

    is_out: bool | None = None
    lag_seconds: float | None = None


@dataclass
class VmListStandIn:
    """The simulated VM list; `start` it, then use `url`."""

    lag_seconds: float = 1
    is_out: bool = False
    vms: dict[str, ListedVm] = field(default_factory=dict)
    visible_vms: Mapping[str, ListedVm] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Set up the HTTP routes."""
        application = web.Application()
        router = application.router
        router.add_get('/v1/vms', self.handle_read)
        router.add_put('/control/vms', self.handle_change)
        router.add_put('/control/faults', self.handle_faults)
        self.loopback_service = LoopbackService(application)

    @property
    def url(self) -> str:
        """Return the base URL for clients."""
        return f'http://127.0.0.1:{self.loopback_service.port}'

    async def start(self, port: int = 0) -> None:
        """Start listening on loopback; port 0 takes any free port."""
        await self.loopback_service.start(port)

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        await self.loopback_service.stop()

    def put(self, vm: ListedVm) -> None:
        """Add or change a VM; readers see it after the lag."""
        self.vms[vm.name] = vm
        self._publish_after_lag()

    def remove(self, name: str) -> None:
        """Remove a VM; readers still see it for the lag."""
        self.vms.pop(name, None)
        self._publish_after_lag()

    async def handle_read(self, request: web.Request) -> web.Response:
        """Return the list as it was ``lag_seconds`` ago."""
        if self.is_out:
            return web.Response(status=int(HTTPStatus.SERVICE_UNAVAILABLE))
        return web.Response(
            body=msgspec.json.encode(tuple(self.visible_vms.values())),
            content_type='application/json',
        )

    async def handle_change(self, request: web.Request) -> web.Response:
        """Add, change or remove one VM."""
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
        """Update the faults."""
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
