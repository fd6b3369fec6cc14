"""Steps of idempotence flags and of table changes during a request."""

import asyncio
from types import MappingProxyType

from behave import given, then, when

from features.support.builders import build_route, build_tables
from features.support.time_limits import time_limit
from zinniaturn.entry.idempotence import is_idempotent

FLAGS = MappingProxyType(
    {'nothing': None, 'idempotent': True, 'non-idempotent': False},
)


@given('the flag of the route is {flag}')
def set_route_flag(context, flag):
    context.route = build_route(idempotent=FLAGS[flag])


@when('the entry has received the head of the request')
def wait_for_head(context):
    async def wait():
        async with time_limit(60):
            while not context.entry.state.requests_in_flight:
                await asyncio.sleep(0.005)

    context.loop.run_until_complete(wait())


@when('a revision without routes and pools is installed')
def install_empty(context):
    assert context.entry.state.installed.install(build_tables(2))


@when('the caller sends a {method} with the flag {flag}')
def send_flagged(context, method, flag):
    context.idempotent = is_idempotent(method, FLAGS[flag], context.route)


@then('the request counts as {flag}')
def check_idempotence(context, flag):
    assert context.idempotent is FLAGS[flag]
