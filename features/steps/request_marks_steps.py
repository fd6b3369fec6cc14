"""Steps of marked requests and of tables that change under a request."""

import asyncio
from types import MappingProxyType

from behave import given, then, when

from features.support.builders import build_route, build_tables
from zinniaturn.entry.idempotence import is_idempotent

MARKS = MappingProxyType(
    {'nothing': None, 'idempotent': True, 'non-idempotent': False},
)


@given('the route is marked {mark}')
def mark_route(context, mark):
    context.route = build_route(idempotent=MARKS[mark])


@when('the entry has the head of the request')
def wait_for_head(context):
    async def wait():
        async with asyncio.timeout(60):
            while not context.entry.state.requests_in_flight:
                await asyncio.sleep(0.005)

    context.loop.run_until_complete(wait())


@when('a revision without routes and pools comes into force')
def install_empty(context):
    assert context.entry.state.installed.install(build_tables(2))


@when('the caller sends a {method} marked {mark}')
def mark_request(context, method, mark):
    context.idempotent = is_idempotent(method, MARKS[mark], context.route)


@then('the request counts as {mark}')
def check_mark(context, mark):
    assert context.idempotent is MARKS[mark]
