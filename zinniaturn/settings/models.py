"""
Defines the settings of ``zinniaturn entry`` as a pydantic model.

The description of a field, with its unit if it has one, is the help text of
the field's flag.
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

    Hosts are IP addresses, not names. Times are in seconds unless the field's
    name says otherwise.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: str = Field(
        pattern='^[a-z0-9][a-z0-9.-]{0,61}$',
        description='Name of the entry, unique in the fleet.',
    )
    data_center: str = Field(
        default='',
        max_length=63,
        description='Data centre of the entry.',
    )
    host: IpAddress = Field(
        default='127.0.0.1',
        description='Address to listen on for callers.',
    )
    port: int = Field(
        default=8080,
        ge=0,
        le=65_535,
        description='TCP port for callers; 0 picks a free one.',
    )
    admin_host: IpAddress = Field(
        default='127.0.0.1',
        description='Address to listen on for health, readiness and metrics.',
    )
    admin_port: int = Field(
        default=8081,
        ge=0,
        le=65_535,
        description='TCP port of the admin address; 0 picks a free one.',
    )
    peer_host: IpAddress = Field(
        default='127.0.0.1',
        description='Address to listen on for other entries.',
    )
    peer_port: int = Field(
        default=0,
        ge=0,
        le=65_535,
        description='TCP port for other entries; 0 picks a free one.',
    )
    peers: str = Field(
        default='',
        pattern=r'^(\d+\.\d+\.\d+\.\d+:\d{1,5}(,|$))*$',
        description='IP:PORT,... of entries to contact during store outages.',
        json_schema_extra={'allowed': 'IP:PORT[,IP:PORT]...'},
    )
    vm: str = Field(
        default='',
        max_length=63,
        description="This VM's name in the VM list; unset: the entry's name.",
    )
    vm_list_url: VmListUrl = Field(
        default='',
        description='URL of the list of VMs; unset: no list is read.',
    )
    store_url: StoreUrl = Field(
        description='URL of the configuration store.',
    )
    policy: Policy = Field(
        default=PRODUCT_POLICY,
        description='Policy that chooses backend servers, in all or per pool.',
    )
    address_lifetime_seconds: float = Field(
        default=5,
        gt=0,
        le=3600,
        allow_inf_nan=False,
        description='How long callers may use entry addresses, in seconds.',
    )
    measuring_lease_seconds: float = Field(
        default=5,
        ge=1,
        le=300,
        allow_inf_nan=False,
        description='Duration of the lease for measuring requests, in seconds.',
    )
    address_lag_seconds: float = Field(
        default=2,
        ge=0,
        le=600,
        allow_inf_nan=False,
        description=(
            'How long other entries may still give out the address of this '
            'one after its shutdown has begun, in seconds.'
        ),
    )
    key_secret: SecretStr = Field(
        default=SecretStr(''),
        description=(
            'Secret shared by all entries to verify the idempotency keys that '
            'they issue; unset: an entry verifies only its own keys.'
        ),
    )
    key_window_seconds: float = Field(
        default=600,
        ge=1,
        le=86_400,
        description='Retention time of an idempotency key, in seconds.',
    )
    key_limit: int = Field(
        default=100_000,
        ge=1,
        le=10_000_000,
        description='Maximum idempotency keys kept; further ones are refused.',
    )
    key_answer_bytes: int = Field(
        default=33_554_432,
        ge=0,
        description='Maximum bytes of responses kept for replay.',
    )
    log_level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = Field(
        default='INFO',
        description='Minimum severity of logged events.',
    )
    tls_certificate: str = Field(
        default='',
        description='PEM certificate file for other entries and operators.',
    )
    tls_key: str = Field(
        default='',
        description='PEM file with the private key of the certificate.',
    )
    tls_authority: str = Field(
        default='',
        description='PEM CA file to verify other entries and operators.',
    )
    tls_peer_name: str = Field(
        default='',
        description="Name in other entries' certificates; unset: IP address.",
    )
    caller_tls_certificate: str = Field(
        default='',
        description='PEM certificate file for callers; unset: plain HTTP.',
    )
    caller_tls_key: str = Field(
        default='',
        description='PEM file with the key of the certificate for callers.',
    )
    caller_tls_authority: str = Field(
        default='',
        description='PEM CA file to verify callers; unset: not verified.',
    )
    backend_tls_authority: str = Field(
        default='',
        description='PEM CA file to verify servers; unset: plain HTTP.',
    )
    backend_tls_certificate: str = Field(
        default='',
        description='PEM client certificate file for backend servers.',
    )
    backend_tls_key: str = Field(
        default='',
        description='PEM file with the private key of the client certificate.',
    )
    tls_reload_seconds: float = Field(
        default=10,
        gt=0,
        le=3600,
        allow_inf_nan=False,
        description='Interval of checks for changed PEM files, in seconds.',
    )
    max_connections: int = Field(
        default=10_000,
        ge=1,
        le=1_000_000,
        description='Maximum caller connections; file limits may lower it.',
    )
    max_connections_per_caller: int = Field(
        default=2000,
        ge=1,
        le=1_000_000,
        description='Maximum connections from one IP address.',
    )
    head_seconds: float = Field(
        default=10,
        gt=0,
        le=3600,
        allow_inf_nan=False,
        description="Time limit for receiving a request's head, in seconds.",
    )
    body_seconds: float = Field(
        default=30,
        gt=0,
        le=3600,
        allow_inf_nan=False,
        description='Time limit without progress of a request body (seconds).',
    )
    reader_seconds: float = Field(
        default=30,
        gt=0,
        le=3600,
        allow_inf_nan=False,
        description='Time limit without progress of a response (seconds).',
    )
    event_loop: Literal['uvloop', 'asyncio'] = Field(
        default='asyncio',
        description='Event loop of the entry.',
    )
    decision_records: int = Field(
        default=20_000,
        ge=0,
        le=1_000_000,
        description='Decisions on requests kept in memory; 0 keeps none.',
    )
    seed: int | None = Field(
        default=None,
        description='Seed of random choices; unset: a random seed.',
    )

    def peer_seeds(self) -> tuple[Address, ...]:
        """Return the addresses listed in ``peers``."""
        return tuple(
            Address(host, int(port))
            for host, port in _PEER_ADDRESS.findall(self.peers)
        )

    @model_validator(mode='after')
    def check_tls_files(self) -> Self:
        """Reject TLS files that are set without their counterparts."""
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
        """Reject an admin address that is also the callers' address."""
        is_same = (self.host, self.port) == (self.admin_host, self.admin_port)
        if is_same and self.port:
            raise ValueError('--port and --admin-port are the same')
        return self
