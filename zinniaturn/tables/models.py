"""
Validation of the two tables by models.

The models validate data from YAML files and from the store. The published JSON
Schema is generated from `RouteFileModel` and `PoolFileModel`, so the docstrings
and descriptions of the models are part of it.
"""

__all__ = (
    'PoolFileModel',
    'PoolModel',
    'RouteFileModel',
    'RouteModel',
    'ServerModel',
    'TablesModel',
)

import ipaddress
from collections.abc import Iterable, Sequence
from typing import Annotated, Protocol, TypeVar

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, Strict
from pydantic_core import PydanticCustomError

from zinniaturn.tables.domain import Pool, Route, Server

DUPLICATE_NAME = 'duplicate_name'

_NAME_PATTERN = '^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$'
_HOST_PATTERN = r'^([a-z0-9_-]+(\.[a-z0-9_-]+)*|\[[0-9a-f:.]+\])?$'
_PATH_PATTERN = r'^/[^\s?#%]*$'


class _Named(Protocol):
    name: str


_Rows = TypeVar('_Rows', bound=Sequence[_Named])


def _check_address(text: str) -> str:
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as error:
        raise PydanticCustomError(
            'ip_address', 'must be an IP address'
        ) from error


def _check_path_prefix(text: str) -> str:
    if '/./' in f'{text}/' or '/../' in f'{text}/':
        raise PydanticCustomError('path_prefix', 'dot segments never match')
    return text


def _check_unique_names(rows: _Rows) -> _Rows:
    repeated = duplicate_names(row.name for row in rows)
    if repeated:
        raise PydanticCustomError(
            DUPLICATE_NAME,
            'the name "{name}" stands more than once',
            {'name': repeated[0]},
        )
    return rows


def duplicate_names(names: Iterable[str]) -> list[str]:
    """
    Return each name that repeats an earlier one, in their order.

    >>> duplicate_names(['a', 'b', 'a'])
    ['a']
    """
    seen: set[str] = set()
    repeated: list[str] = []
    for name in names:
        if name in seen:
            repeated.append(name)
        seen.add(name)
    return repeated


Name = Annotated[str, Field(pattern=_NAME_PATTERN)]
Method = Annotated[str, Field(pattern='^[A-Z]{3,16}$')]
Address = Annotated[str, AfterValidator(_check_address)]
PathPrefix = Annotated[
    str,
    Field(pattern=_PATH_PATTERN),
    AfterValidator(_check_path_prefix),
]
Integer = Annotated[int, Strict()]
Number = Annotated[float, Strict(), Field(allow_inf_nan=False)]
Flag = Annotated[bool, Strict()]


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class ServerModel(_StrictModel):
    """A backend server as operators write it."""

    name: Name = Field(description='Name, unique within its pool.')
    host: Address = Field(description='IP address.')
    port: Integer = Field(ge=1, le=65_535, description='TCP port.')
    slots: Integer = Field(
        ge=1,
        le=10_000,
        description='Requests that the server runs at once.',
    )
    data_center: str = Field(
        default='',
        max_length=63,
        description='Data centre that the server is in.',
    )
    leaving: Flag = Field(
        default=False,
        description='True takes the server out: it gets no new requests.',
    )

    def to_domain(self) -> Server:
        """Return the server as a data class."""
        return Server(**self.model_dump())


Servers = Annotated[
    tuple[ServerModel, ...], AfterValidator(_check_unique_names)
]


class PoolModel(_StrictModel):
    """A pool as operators write it."""

    name: Name = Field(description='Name, unique in the pool table.')
    servers: Servers = Field(
        min_length=1,
        max_length=2000,
        description='Backend servers of the pool.',
    )
    measuring_budget: Number = Field(
        default=0,
        ge=0,
        le=1000,
        description=(
            'Measuring requests per second that each server may get from all '
            'entries together.'
        ),
    )
    retry_share: Number = Field(
        default=0.1,
        ge=0,
        le=1,
        description='Retries allowed, as a share of successful requests.',
    )
    queue_limit: Integer = Field(
        default=64,
        ge=0,
        le=100_000,
        description='Requests that may wait at one entry.',
    )

    def to_domain(self) -> Pool:
        """Return the pool as a data class."""
        return Pool(
            name=self.name,
            servers=tuple(server.to_domain() for server in self.servers),
            measuring_budget=self.measuring_budget,
            retry_share=self.retry_share,
            queue_limit=self.queue_limit,
        )


class RouteModel(_StrictModel):
    """A route as operators write it."""

    name: Name = Field(description='Name, unique in the route table.')
    pool: Name = Field(description='Name of the pool that gets the requests.')
    host: str = Field(
        default='',
        max_length=253,
        pattern=_HOST_PATTERN,
        description=(
            'Host of the request in lower case, without a port; empty matches '
            'every host.'
        ),
    )
    path_prefix: PathPrefix = Field(
        default='/',
        max_length=1000,
        description=(
            'Beginning of the decoded path, matched by whole segments; the '
            'longest one wins.'
        ),
    )
    methods: tuple[Method, ...] = Field(
        default=(),
        description='Methods that the route takes; empty takes every one.',
    )
    idempotent: Flag | None = Field(
        default=None,
        description=(
            'Whether requests may run twice; unset leaves it to the method.'
        ),
    )
    deadline_seconds: Number = Field(
        default=30,
        gt=0,
        le=86_400,
        description='Deadline of a request that states none, in seconds.',
    )

    def to_domain(self) -> Route:
        """Return the route as a data class."""
        fields = self.model_dump()
        fields['methods'] = frozenset(self.methods)
        return Route(**fields)


Routes = Annotated[tuple[RouteModel, ...], AfterValidator(_check_unique_names)]
Pools = Annotated[tuple[PoolModel, ...], AfterValidator(_check_unique_names)]


class RouteFileModel(_StrictModel):
    """A file with rows of the route table."""

    routes: Routes = Field(description='Routes to add or to replace.')


class PoolFileModel(_StrictModel):
    """A file with rows of the pool table."""

    pools: Pools = Field(description='Pools to add or to replace.')


class TablesModel(_StrictModel):
    """Both tables as the store holds them."""

    revision: int = Field(ge=0)
    change_id: str = ''
    routes: Routes = ()
    pools: Pools = ()
