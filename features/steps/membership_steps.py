"""Steps for the membership of the entries."""

import asyncio
import signal
import tempfile
from functools import partial
from pathlib import Path

import aiohttp
from behave import given, then, when

from features.steps.spread_steps import _run, _start_entry, _wait_until
from features.support.time_limits import time_limit
from zinniaturn.configuration.commit import commit, read_tables
from zinniaturn.experiments.configuration.fleet import ConfigurationFleet
from zinniaturn.experiments.configuration.operators import initial_tables
from zinniaturn.membership import Evidence, MemberState, classify_member
from zinniaturn.membership.directory import (
    decode_directory,
    directory_key,
)
from zinniaturn.peers import PeerError
from zinniaturn.status import StatusError
from zinniaturn.status.client import read_status
from zinniaturn.status.models import EntryStatus
from zinniaturn.store import HttpStore
from zinniaturn.vmlist import VmState

_TIMEOUT_SECONDS = 90


def _entries_named(context, names):
    return [context.entries[name] for name in names.split(', ')]


def _table(entry):
    state = entry.state
    return state.control.table


def _gossip(entry):
    state = entry.state
    return state.control.gossip


def _block_gossip(entry, addresses):
    client = _gossip(entry).client
    original_exchange = client.exchange

    async def exchange_unless_blocked(address, bulletin):
        if address in addresses:
            raise PeerError('cut off')
        return await original_exchange(address, bulletin)

    client.exchange = exchange_unless_blocked


@when(
    'the entries are split so that "{names}" can reach neither the others '
    'nor the store',
)
def split_entries(context, names):
    isolated = _entries_named(context, names)
    others = [
        entry for entry in context.entries.values() if entry not in isolated
    ]
    for side, other_side in ((others, isolated), (isolated, others)):
        addresses = {_table(other).me.peers for other in other_side}
        for entry in side:
            _block_gossip(entry, addresses)
    context.stand_in.faults.cut_off.update(names.split(', '))


def _have_revision(entries, revision):
    return _revisions(entries) == {revision}


def _revisions(entries):
    return {entry.state.installed.tables.revision for entry in entries}


@then('"{names}" have revision {revision:d} in force')
def check_half(context, names, revision):
    half = _entries_named(context, names)
    _run(context, _wait_until(lambda: _revisions(half) == {revision}))


@then('"{names}" still have revision {revision:d} in force')
def check_other_half(context, names, revision):
    assert _revisions(_entries_named(context, names)) == {revision}


@when('the partition heals while the store is unreachable for "{names}"')
def heal_partition(context, names):
    assert context.stand_in.faults.cut_off == set(names.split(', '))
    for entry in context.entries.values():
        del _gossip(entry).client.exchange


@when('every entry is replaced by a new one during a store outage')
def replace_all(context):
    async def replace():
        old = list(context.entries.values())
        await _wait_until(lambda: _revisions(old) == {2})
        context.stand_in.faults.is_out = True
        for number, entry in enumerate(old):
            seeds = tuple(context.entries.values())
            new_entry = await _start_entry(context, f'fresh-{number}', seeds)
            await _wait_until(partial(_have_revision, [new_entry], 2))
            context.closers.remove(entry.stop)
            await entry.stop()
            context.entries.pop(entry.settings.name)

    _run(context, replace())


@given('{count:d} entry processes with tables')
def start_processes(context, count):
    async def start():
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.fleet = ConfigurationFleet(Path(folder.name), count)
        context.closers.append(context.fleet.stop)
        await context.fleet.start_store()
        context.store = HttpStore(context.fleet.store_url)
        context.closers.append(context.store.close)
        base = await read_tables(context.store)
        await commit(context.store, base, initial_tables())
        await _start_all(context)
        await _wait_ready(context)

    _run(context, start())


async def _start_all(context):
    for entry in context.fleet.entries.values():
        await context.fleet.start_entry(entry)


async def _wait_ready(context):
    for entry in context.fleet.entries.values():
        await context.fleet.wait_ready(entry)


async def _statuses(context, entries):
    timeout = aiohttp.ClientTimeout(5)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        return [await read_status(session, entry.admin) for entry in entries]


@when('all are killed and restarted during a store outage')
def restart_all(context):
    async def restart():
        await context.fleet.set_faults(is_out=True)
        for entry in context.fleet.entries.values():
            await context.fleet.kill(entry)
        await _start_all(context)

    _run(context, restart())


@then('none is ready and each reports that the store does not answer')
def check_none_ready(context):
    async def check():
        async with time_limit(_TIMEOUT_SECONDS):
            while True:
                try:
                    statuses = await _statuses(
                        context,
                        context.fleet.entries.values(),
                    )
                except StatusError:
                    await asyncio.sleep(0.1)
                    continue
                if all(
                    'does not answer' in status.reason for status in statuses
                ):
                    return statuses
                await asyncio.sleep(0.1)

    for status in _run(context, check()):
        assert not status.is_ready, status


@when('the store process is available again')
def end_store_outage(context):
    _run(context, context.fleet.set_faults(is_out=False))


@then('all entry processes are ready')
def check_all_ready(context):
    _run(context, _wait_ready(context))


async def _find_reporter(context, data_center, excluded=''):
    async with time_limit(_TIMEOUT_SECONDS):
        while True:
            entries = [
                entry
                for entry in context.fleet.entries.values()
                if entry.data_center == data_center and entry.name != excluded
            ]
            for status in await _statuses(context, entries):
                if status.lease.is_held:
                    return status
            await asyncio.sleep(0.2)


@when('the reporter of a data centre is paused until its lease expires')
def pause_reporter(context):
    async def pause():
        context.paused = await _find_reporter(context, 'dc-0')
        assert isinstance(context.paused, EntryStatus)
        entry = context.fleet.entries[context.paused.name]
        context.fleet.process_group.send_signal(entry.name, signal.SIGSTOP)

    _run(context, pause())


@then('another entry becomes the reporter with a greater fencing token')
def check_successor(context):
    context.successor = _run(
        context,
        _find_reporter(context, 'dc-0', context.paused.name),
    )
    assert context.successor.lease.fencing > context.paused.lease.fencing


@when('the paused process resumes')
def resume_reporter(context):
    context.fleet.process_group.send_signal(context.paused.name, signal.SIGCONT)


@then("it does not hold the lease and the directory is still the successor's")
def check_resumed(context):
    async def check():
        entry = context.fleet.entries[context.paused.name]
        status = (await _statuses(context, [entry]))[0]
        assert not status.lease.is_held, status
        stored = await context.store.read(directory_key('dc-0'))
        directory = decode_directory(stored)
        assert directory.reporter == context.successor.name, directory
        assert directory.fencing == context.successor.lease.fencing

    _run(context, check())


@when('"{name}" is restarted with a much earlier incarnation')
def restart_in_past(context, name):
    async def restart():
        entry = context.entries.pop(name)
        context.closers.remove(entry.stop)
        await entry.stop()
        seeds = tuple(context.entries.values())
        new_entry = await _start_entry(context, name, seeds)
        me = _table(new_entry).me
        old_heartbeat = type(me.heartbeat)(1, False, 1)
        _table(new_entry).me = type(me)(
            me.name,
            me.callers,
            me.peers,
            me.admin,
            me.data_center,
            me.vm,
            old_heartbeat,
        )

    _run(context, restart())


@then('"{observer}" sees "{name}" as live again')
def check_live(context, observer, name):
    table = _table(context.entries[observer])
    peers = _table(context.entries[name]).me.peers

    def is_live():
        known = table.known[name].member
        own_heartbeat = _table(context.entries[name]).me.heartbeat
        is_same = known.peers == peers and not known.heartbeat.leaving
        is_later = own_heartbeat.incarnation > 1
        is_same = (
            is_same and own_heartbeat.incarnation == known.heartbeat.incarnation
        )
        is_seen_as_live = table.state_of(name) is MemberState.LIVE
        return is_same and is_later and is_seen_as_live

    _run(context, _wait_until(is_live))


@then(
    'with a heartbeat {age:d} s old, leased {leased}, VM list {listed} and '
    'heartbeats from {senders} it is {state}',
)
def check_evidence(context, age, leased, listed, senders, state):
    evidence = Evidence(
        heartbeat_age=age,
        is_leased={'yes': True, 'no': False}.get(leased),
        vm_state=None if listed == 'absent' else VmState(listed),
        is_isolated=senders == 'nobody',
    )
    assert classify_member(evidence).value == state
