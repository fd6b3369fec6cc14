"""
Validated models of the two tables.

They are the border between the YAML files or store values and the program.
"""

__all__ = ('PoolModel', 'RouteModel', 'ServerModel', 'TablesModel')

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from zinniaturn.tables.domain import Pool, Route, Server

Name = Annotated[
    str,
    Field(pattern='^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$'),
]
Method = Annotated[str, Field(pattern='^[A-Z]{3,16}$')]


class _Strict(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class ServerModel(_Strict):
    """A backend server as operators write it."""

    name: Name
    host: str = Field(min_length=1, max_length=253)
    port: int = Field(ge=1, le=65535)
    slots: int = Field(ge=1, le=10_000)
    data_center: str = Field(default='', max_length=63)
    leaving: bool = False

    def to_domain(self) -> Server:
        """Return the server as a data class."""
        return Server(**self.model_dump())


class PoolModel(_Strict):
    """A pool as operators write it."""

    name: Name
    servers: tuple[ServerModel, ...] = Field(min_length=1, max_length=2000)
    measuring_budget: float = Field(default=0, ge=0, le=1000)
    retry_share: float = Field(default=0.1, ge=0, le=1)
    queue_limit: int = Field(default=64, ge=0, le=100_000)

    def to_domain(self) -> Pool:
        """Return the pool as a data class."""
        return Pool(
            name=self.name,
            servers=tuple(server.to_domain() for server in self.servers),
            measuring_budget=self.measuring_budget,
            retry_share=self.retry_share,
            queue_limit=self.queue_limit,
        )


class RouteModel(_Strict):
    """A route as operators write it."""

    name: Name
    pool: Name
    host: str = Field(default='', max_length=253)
    path_prefix: str = Field(default='/', pattern='^/')
    methods: tuple[Method, ...] = ()
    idempotent: bool | None = None
    deadline_seconds: float = Field(default=30, gt=0, le=86_400)

    def to_domain(self) -> Route:
        """Return the route as a data class."""
        fields = self.model_dump()
        fields['methods'] = frozenset(self.methods)
        return Route(**fields)


class TablesModel(_Strict):
    """Both tables as the store holds them."""

    revision: int = Field(ge=0)
    change_id: str = ''
    routes: tuple[RouteModel, ...] = ()
    pools: tuple[PoolModel, ...] = ()
