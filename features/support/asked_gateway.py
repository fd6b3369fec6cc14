"""A gateway with a metrics port before servers in two data centres."""

import json
from dataclasses import replace
from urllib.parse import urlencode

from features.support.gateway import (
    SmallPlatform,
    build_request,
    build_route_row,
)
from features.support.tenants import build_tenant_config
from zinniaturn.platform.standins import ServerStandIn

METRICS_PORT = 18_081
_CENTERS = ('dc-a', 'dc-a', 'dc-b', 'dc-b')


def run(context, coroutine):
    """Run a coroutine on the scenario's loop."""
    return context.loop.run_until_complete(coroutine)


def build_operator_config():
    """Return a document with tenants and a public route over two pools."""
    config = build_tenant_config()
    split = [
        {'service': 'pool', 'weight': 3},
        {'service': 'other', 'weight': 1},
    ]
    row = build_route_row('split', '/split/', 'idempotent', split=split)
    config['routes']['rows'].append([*row, True])
    config['services']['rows'].append(['other', '/healthz', 220, None])
    return config


def serve_metrics(gateway):
    """Let a gateway serve metrics from its start on."""
    gateway.settings = replace(gateway.settings, metrics_port=METRICS_PORT)


async def start_asked(context, config, **bounds):
    """Start four servers and a gateway that has reports of all of them."""
    context.platform = SmallPlatform(context)
    servers = [
        ServerStandIn(name=f's-{number}', data_center=data_center)
        for number, data_center in enumerate(_CENTERS, 1)
    ]
    await context.platform.start(servers, config)
    context.gateway = await context.platform.add_gateway(
        before_start=serve_metrics, **bounds
    )
    context.vm = f'{context.gateway.settings.host}:{METRICS_PORT}'


def ask_endpoint(context, **asked):
    """Return the answer of the endpoint to a question."""
    target = f'/where?{urlencode(asked)}'.encode()
    response = context.endpoint.handle(build_request(target=target))
    assert response.status == 200, response
    context.body = response.body
    return json.loads(response.body)
