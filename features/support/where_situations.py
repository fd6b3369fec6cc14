"""Situations of a VM in which operators ask where a request would go."""

import asyncio
from dataclasses import replace
from functools import partial
from types import MappingProxyType

from zinniaturn.admission.admission import ResponseKind
from zinniaturn.admission.statement import ServerStatement
from zinniaturn.choosing.reports import LoadReport
from zinniaturn.fleet.evacuations import EvacuationsNews
from zinniaturn.placing.planned_stop import PlannedStop
from zinniaturn.reach.witnesses import PoolResponse


def pool_of(context):
    state = context.gateway.state
    return state.pools['pool']


def candidate_of(context, name):
    return pool_of(context)[name]


def candidates(context):
    return list(pool_of(context).values())


def _learn(candidate, **said):
    now = candidate.admission.clock.monotonic()
    statement = ServerStatement(**said)
    candidate.admission.learn(statement, ResponseKind.PROBE, now)


def _leave(candidate):
    _learn(candidate, is_leaving=True)


def _leave_by_store(candidate):
    registered = candidate.registered
    candidate.registered = replace(
        registered, server=replace(registered.server, leaving=True)
    )


def _fail_twice(candidate):
    for _ in range(2):
        candidate.stats.note_failure(asyncio.get_running_loop().time())


def _answer_nothing(candidate):
    for _ in range(2):
        candidate.stats.note_unanswered()


def _be_replaced(candidate):
    candidate.stats.is_replaced = True


SERVER_SITUATIONS = MappingProxyType(
    {
        'says that it leaves': _leave,
        'is registered as leaving': _leave_by_store,
        'asks for a pause': partial(_learn, pause_seconds=5),
        'names a limit': partial(_learn, limit=2),
        'fails twice': _fail_twice,
        'answers no probes': _answer_nothing,
        'was replaced': _be_replaced,
    }
)


def change_nothing(context):
    """Leave all as it is."""


def _each(change):
    def change_all(context):
        for candidate in candidates(context):
            change(candidate)

    return change_all


def _fill(candidate):
    now = asyncio.get_running_loop().time()
    candidate.stats.note_report(LoadReport(4, 8, 4), now)


def _forget_report(candidate):
    candidate.stats.report = None


def _lose_links(context, seconds=0.42):
    reach = context.gateway.state.reach
    tried_at = reach.clock.monotonic() - seconds
    reach.own.of('pool').responded_at = tried_at - 1
    for candidate in candidates(context):
        reach.own.note_unconnected('pool', candidate.name, tried_at)


def _lose_links_alone(context):
    _lose_links(context)
    reach = context.gateway.state.reach
    now = reach.clock.monotonic()
    reach.witnesses.note(PoolResponse('pool', 'vm-2', now))


def _lose_links_just_now(context):
    _lose_links(context)
    context.gateway.state.reach.peers = lambda: 3


def _age_proof(context):
    context.gateway.fleet_state.proof.proven_at -= 100


def _stop(context):
    now = asyncio.get_running_loop().time()
    context.gateway.state.planned_stop = PlannedStop.begin(now, 0.1)


def _gold_admission(context):
    runner = context.gateway.dispatcher.attempt_runner
    accounts = runner.allowances.accounts
    return accounts.find('gold').admission


def _hold_permits(context):
    state = context.gateway.state
    now = state.admissions.clock.monotonic()
    _gold_admission(context).permits.add(2, now)


def _use_up(context):
    state = context.gateway.state
    admission = _gold_admission(context)
    admission.permits.expiries.clear()
    key = admission.notice.server
    until = state.admissions.clock.monotonic() + 0.5
    state.gossip.permits.blocked_until[key] = until


def _lose_owner(context):
    _use_up(context)
    permits = context.gateway.state.gossip.permits
    permits.ownerless_until.update(permits.blocked_until)


def evacuate(context, *names):
    fleet_state = context.gateway.fleet_state
    fleet_state.install_evacuations(
        EvacuationsNews(
            frozenset(names),
            fleet_state.evacuations.revision + 1,
            fleet_state.clock.monotonic(),
        )
    )


def _evacuate_both(context):
    evacuate(context, 'dc-a', 'dc-b')


def _doubt(context):
    fleet_state = context.gateway.fleet_state
    fleet_state.evacuations.confirmed_at = float('-inf')
    fleet_state.evacuations.unread_at = float('-inf')
    guard = context.gateway.state.gossip.pause_guard
    guard.long_resumed_at = fleet_state.clock.monotonic()


def _lose_servers(context):
    context.gateway.state.pools.clear()


SITUATIONS = MappingProxyType(
    {
        'all is as usual': change_nothing,
        'gold holds permits': _hold_permits,
        'gold has no permit left': _use_up,
        "gold's owner can't be asked": _lose_owner,
        'all servers are full': _each(_fill),
        'all servers are ejected': _each(_fail_twice),
        'no server has reported': _each(_forget_report),
        'all servers have limits': _each(partial(_learn, limit=2)),
        'the VM has lost its links': _lose_links_alone,
        'no server has just responded': _lose_links_just_now,
        'no server responds to any VM': _lose_links,
        'the proof is too old': _age_proof,
        'the process stops': _stop,
        'both are evacuated': _evacuate_both,
        'evacuations are unknown': _doubt,
        'all servers are gone': _lose_servers,
    }
)
