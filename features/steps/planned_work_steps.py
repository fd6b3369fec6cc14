"""Steps of planned work on real processes."""

import asyncio
from pathlib import Path

from behave import given, then, when

from zinniaturn.experiments.planned.callers import PlannedCall
from zinniaturn.experiments.planned.rule import find_lost
from zinniaturn.experiments.planned.run import play_planned
from zinniaturn.experiments.planned.sheets import SHEETS
from zinniaturn.experiments.planned.work import WorkNote
from zinniaturn.experiments.soak.fleet import SoakFleet, SoakServer
from zinniaturn.experiments.soak.vms import VM_PORTS, VmProcess
from zinniaturn.platform.standins import ServerStandIn

_KINDS_OF_WORK = frozenset(
    ('SIGTERM', 'SIGHUP', 'tables', 'server joins', 'server leaves')
)
_SUCCESS = 200
_SENT_AT = 100.0


@when('planned work of seed {seed:d} is done for {seconds:g} s')
def do_work(context, seed, seconds):
    context.report = asyncio.run(play_planned(seed, seconds))


@then(
    'processes were stopped, settings and tables changed, and servers replaced'
)
def check_work(context):
    assert context.report.work.keys() >= _KINDS_OF_WORK, context.report.work


@then('at least {count:d} requests succeeded and none was lost')
def check_none_lost(context, count):
    statuses = context.report.statuses
    assert statuses.get(_SUCCESS, 0) >= count, statuses
    assert not context.report.lost, context.report.lost


def _call(context, request_id, seconds):
    kind = SHEETS['riga-grown'][1]
    call = PlannedCall(request_id, kind, context.vm, _SENT_AT - 1, _SENT_AT, 0)
    call.ended_at = _SENT_AT + seconds
    context.planned_calls.append(call)


@given('a request that a server ran, whose connection ended as its VM stopped')
def add_lost(context):
    context.planned_calls = []
    folder = Path('/nonexistent')
    context.vm = VmProcess('vm-1', '127.0.0.2', VM_PORTS, folder)
    context.planned_fleet = SoakFleet(1, folder, vms=[context.vm])
    server = ServerStandIn(name='s-1')
    context.planned_fleet.servers.append(SoakServer(server, None, None))
    server.runs[b'lost'] = 1
    server.runs[b'late'] = 1
    _call(context, 'lost', 1)


@given(
    'one that ended without a response after its timeout, and one that '
    'crossed a close'
)
def add_excused(context):
    _call(context, 'late', 1.6)
    _call(context, 'crossed', 0.05)


@then('only the first of them is reported as lost, with the stop of its VM')
def check_lost(context):
    notes = [WorkNote(_SENT_AT - 2, 'SIGTERM', 'vm-1')]
    lost = list(find_lost(context.planned_fleet, context.planned_calls, notes))
    assert [one.request_id for one in lost] == ['lost'], lost
    assert lost[0].work == ('SIGTERM 2.00 s before it was sent',), lost
