"""
Validated models of the settings.

Every field has a description, with its unit where there is one; it is the
help of the field's flag.
"""

__all__ = ('EntrySettings',)

import random
import re
from typing import Annotated, Literal, Self

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    SecretStr,
    model_validator,
)

from zinniaturn.choosing.exceptions import UnknownPolicyError
from zinniaturn.choosing.registry import PRODUCT_POLICY, policy_for_pool
from zinniaturn.membership.domain import Address
from zinniaturn.settings.fields import IpAddress, StoreUrl, VmListUrl

_PEER_ADDRESS = re.compile(r'([\d.]+):(\d+)')


def _check_policy(setting: str) -> str:
    for part in setting.split(','):
        pool = part.rpartition('=')[0]
        try:
            policy_for_pool(setting, pool, random.Random(0))
        except UnknownPolicyError as error:
            raise ValueError(error.message) from error
    return setting


Policy = Annotated[
    str,
    AfterValidator(_check_policy),
    Field(json_schema_extra={'allowed': 'NAME[,POOL=NAME]...'}),
]


class EntrySettings(BaseModel):
    """
    Settings of ``zinniaturn entry``.

    Addresses are IP numbers. Times are in seconds unless the name says
    otherwise.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: str = Field(
        pattern='^[a-z0-9][a-z0-9.-]{0,61}$',
        description='Name of the entry, unique in the fleet.',
    )
    data_center: str = Field(
        default='',
        max_length=63,
        description='Data centre that the entry is in.',
    )
    host: IpAddress = Field(
        default='127.0.0.1',
        description='Address to listen on for callers.',
    )
    port: int = Field(
        default=8080,
        ge=0,
        le=65_535,
        description='TCP port for callers; 0 takes a free one.',
    )
    admin_host: IpAddress = Field(
        default='127.0.0.1',
        description='Address to listen on for health, readiness and metrics.',
    )
    admin_port: int = Field(
        default=8081,
        ge=0,
        le=65_535,
        description='TCP port of the admin address; 0 takes a free one.',
    )
    peer_host: IpAddress = Field(
        default='127.0.0.1',
        description='Address to listen on for other entries.',
    )
    peer_port: int = Field(
        default=0,
        ge=0,
        le=65_535,
        description='TCP port for other entries; 0 takes a free one.',
    )
    peers: str = Field(
        default='',
        pattern=r'^(\d+\.\d+\.\d+\.\d+:\d{1,5}(,|$))*$',
        description='IP:PORT,... of some entries, for when the store is out.',
        json_schema_extra={'allowed': 'IP:PORT[,IP:PORT]...'},
    )
    vm: str = Field(
        default='',
        max_length=63,
        description="This VM's name in the VM list; unset takes the name.",
    )
    vm_list_url: VmListUrl = Field(
        default='',
        description='URL of the list of VMs; unset does without.',
    )
    store_url: StoreUrl = Field(
        description='URL of the configuration store.',
    )
    policy: Policy = Field(
        default=PRODUCT_POLICY,
        description='How backend servers are chosen, for all pools or by pool.',
    )
    address_lifetime_seconds: float = Field(
        default=5,
        gt=0,
        le=3600,
        allow_inf_nan=False,
        description='How long callers keep the addresses, in seconds.',
    )
    measuring_lease_seconds: float = Field(
        default=5,
        ge=1,
        le=300,
        allow_inf_nan=False,
        description='Term of the lease on the right to measure, in seconds.',
    )
    address_lag_seconds: float = Field(
        default=2,
        ge=0,
        le=600,
        allow_inf_nan=False,
        description=(
            'How long other entries may name this one after it was told to '
            'stop, in seconds.'
        ),
    )
    key_secret: SecretStr = Field(
        default=SecretStr(''),
        description=(
            'Secret that all entries share to read the idempotency keys that '
            'they issue; unset, an entry reads its own keys only.'
        ),
    )
    key_window_seconds: float = Field(
        default=600,
        ge=1,
        le=86_400,
        description='How long an idempotency key is kept, in seconds.',
    )
    key_limit: int = Field(
        default=100_000,
        ge=1,
        le=10_000_000,
        description='Idempotency keys kept at most; new ones are refused.',
    )
    key_answer_bytes: int = Field(
        default=33_554_432,
        ge=0,
        description='Bytes of answers kept for repeated keys at most.',
    )
    log_level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = Field(
        default='INFO',
        description='Least severe level that is logged.',
    )
    tls_certificate: str = Field(
        default='',
        description='PEM file shown to other entries and to operators.',
    )
    tls_key: str = Field(
        default='',
        description='PEM file of the key of the certificate.',
    )
    tls_authority: str = Field(
        default='',
        description='PEM file that other entries and operators are checked by.',
    )
    tls_peer_name: str = Field(
        default='',
        description="Name in other entries' certificates; unset: their IP.",
    )
    caller_tls_certificate: str = Field(
        default='',
        description='PEM file shown to callers; unset for plain HTTP.',
    )
    caller_tls_key: str = Field(
        default='',
        description='PEM file of the key of the certificate for callers.',
    )
    caller_tls_authority: str = Field(
        default='',
        description='PEM file that callers are checked by; unset: unchecked.',
    )
    backend_tls_authority: str = Field(
        default='',
        description='PEM file backend servers are checked by; unset: plain.',
    )
    backend_tls_certificate: str = Field(
        default='',
        description='PEM file shown to backend servers.',
    )
    backend_tls_key: str = Field(
        default='',
        description='PEM file of the key of that certificate.',
    )
    tls_reload_seconds: float = Field(
        default=10,
        gt=0,
        le=3600,
        allow_inf_nan=False,
        description='Seconds between looks at the PEM files.',
    )
    max_connections: int = Field(
        default=10_000,
        ge=1,
        le=1_000_000,
        description="Callers' connections in all; fewer if files run out.",
    )
    max_connections_per_caller: int = Field(
        default=2000,
        ge=1,
        le=1_000_000,
        description='Connections from one IP address.',
    )
    head_seconds: float = Field(
        default=10,
        gt=0,
        le=3600,
        allow_inf_nan=False,
        description="Seconds for a request's whole head.",
    )
    body_seconds: float = Field(
        default=30,
        gt=0,
        le=3600,
        allow_inf_nan=False,
        description='Seconds without progress of a body that a caller sends.',
    )
    reader_seconds: float = Field(
        default=30,
        gt=0,
        le=3600,
        allow_inf_nan=False,
        description='Seconds without progress of a caller that reads.',
    )
    event_loop: Literal['uvloop', 'asyncio'] = Field(
        default='asyncio',
        description='Event loop of the entry.',
    )
    decision_records: int = Field(
        default=20_000,
        ge=0,
        le=1_000_000,
        description='Latest decisions on requests kept; 0 keeps none.',
    )
    seed: int | None = Field(
        default=None,
        description='Seed of random choices; unset draws one.',
    )

    def peer_seeds(self) -> tuple[Address, ...]:
        """Return the addresses of the entries named in ``peers``."""
        return tuple(
            Address(host, int(port))
            for host, port in _PEER_ADDRESS.findall(self.peers)
        )

    @model_validator(mode='after')
    def check_tls_files(self) -> Self:
        """Refuse a certificate without its key, and so on."""
        internal_files = (
            self.tls_certificate,
            self.tls_key,
            self.tls_authority,
        )
        if any(internal_files) and not all(internal_files):
            raise ValueError(
                '--tls-certificate, --tls-key and --tls-authority go together',
            )
        for kind in ('caller', 'backend'):
            certificate = getattr(self, f'{kind}_tls_certificate')
            if bool(certificate) != bool(getattr(self, f'{kind}_tls_key')):
                raise ValueError(
                    f'--{kind}-tls-certificate and --{kind}-tls-key go '
                    'together',
                )
        return self

    @model_validator(mode='after')
    def check_ports(self) -> Self:
        """Refuse one port for callers and for the admin address."""
        is_same = (self.host, self.port) == (self.admin_host, self.admin_port)
        if is_same and self.port:
            raise ValueError('--port and --admin-port are the same')
        return self
