"""Steps of what a VM observes of its pools' backend servers."""

from types import MappingProxyType

from behave import given, then, when

from features.support.cut_links import cut_links, start_cut_fleet
from features.support.gateway import build_config, build_route_row
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.reach.observation import PoolObservation
from zinniaturn.standins.vm_links import CutShape

_TRIED_AT = 10.0
_SILENT = MappingProxyType({'silent': True, 'not silent': False})


@given('a pool of {size:d} servers of which {tried:d} were tried at 10.0 s')
def start_pool(context, size, tried):
    context.pool = PoolObservation()
    context.size = size
    context.tried = [f's-{number}' for number in range(tried)]
    for server in context.tried:
        context.pool.note_tried(server, _TRIED_AT)


@given('{failed:d} of them refused the connection')
def refuse_connections(context, failed):
    for server in context.tried[:failed]:
        context.pool.note_unconnected(server, _TRIED_AT)


@when('a server responds at {at:g} s')
def respond(context, at):
    context.pool.note_response(at)


@when('the connections that were tried at 10.0 s fail')
def fail_late(context):
    for server in context.tried:
        context.pool.note_failed(server, _TRIED_AT)


@then('the pool is {early} at {first:g} s and {late} at {second:g} s')
def check_silent(context, early, first, late, second):
    assert context.pool.is_silent(first, context.size) is _SILENT[early]
    assert context.pool.is_silent(second, context.size) is _SILENT[late]


@given(
    'a fleet of {count:d} gateways before {servers:d} servers, with routes '
    'that wait {seconds:d} s'
)
def start_patient_fleet(context, count, servers, seconds):
    context.wait_ms = seconds * 1000
    config = build_config(
        [
            build_route_row(
                'reads', '/reads/', 'idempotent', timeout_ms=context.wait_ms
            ),
            build_route_row(
                'posts', '/posts/', 'non_idempotent', timeout_ms=context.wait_ms
            ),
        ]
    )
    context.loop.run_until_complete(
        start_cut_fleet(context, count, servers, config)
    )


@given('a fleet of {count:d} gateways before {servers:d} servers')
def start_fleet(context, count, servers):
    context.loop.run_until_complete(start_cut_fleet(context, count, servers))


@when('all links of gateway {number:d} to the servers are cut, shape "{shape}"')
def cut_one(context, number, shape):
    cut_links(context, [number], CutShape(shape))


@when('the links of gateway {number:d} are back')
def restore_one(context, number):
    gateway = context.platform.gateways[number - 1]
    context.platform.links.restore(gateway.settings.host)


def _rows(context, number, event):
    gateway = context.platform.gateways[number - 1]
    return [row for row in gateway.event_log.rows if row['event'] == event]


@then('gateway {number:d} has logged that "{pool}" is silent, tried {tried:d}')
def check_logged_silent(context, number, pool, tried):
    rows = _rows(context, number, LogEvent.POOL_SILENT)
    assert [row['pool'] for row in rows] == [pool], rows
    assert len(rows[0]['tried']) == tried, rows


@then('gateway {number:d} has logged that "{pool}" responds again')
def check_logged_responds(context, number, pool):
    rows = _rows(context, number, LogEvent.POOL_RESPONDS)
    assert [row['pool'] for row in rows] == [pool], rows


@then('gateway {number:d} has logged no silent pool')
def check_logged_none(context, number):
    assert not _rows(context, number, LogEvent.POOL_SILENT)
