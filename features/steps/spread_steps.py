"""Steps for the dissemination of revisions, with entries in this process."""

import asyncio
import logging
import random
import time

from behave import given, then, when

from features.support.builders import build_pool, build_route, build_tables
from features.support.time_limits import time_limit
from zinniaturn.configuration import apply_routes
from zinniaturn.configuration.commit import (
    commit,
    commit_snapshot,
    new_change_id,
    read_tables,
)
from zinniaturn.configuration.layout import read_head
from zinniaturn.configuration.planning import Authorship
from zinniaturn.configuration.restoring import restore
from zinniaturn.entry import Entry
from zinniaturn.entry.status import readiness_reason
from zinniaturn.errors import CodedError
from zinniaturn.membership.failure_detector import MemberState
from zinniaturn.peers import PeerClient
from zinniaturn.settings import EntrySettings
from zinniaturn.standins import StoreStandIn, VmListStandIn
from zinniaturn.status import find_members, offer_to_entries
from zinniaturn.store import HttpStore
from zinniaturn.vmlist import ListedVm, VmState

_TIMEOUT_SECONDS = 60


class _EventRecorder(logging.Handler):
    def __init__(self):
        super().__init__()
        self.events = []

    def emit(self, record):
        self.events.append(record.event)


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


async def _wait_until(condition):
    async with time_limit(_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


async def _start_store(context):
    context.stand_in = StoreStandIn()
    await context.stand_in.start()
    context.store = HttpStore(context.stand_in.url, caller='operator')
    context.closers.extend([context.stand_in.stop, context.store.close])
    context.entries = {}
    context.vm_list_url = ''
    context.recorder = _EventRecorder()
    logger = logging.getLogger('zinniaturn')
    old_settings = (logger.level, logger.propagate)
    logger.setLevel('INFO')
    logger.propagate = False
    logger.addHandler(context.recorder)

    async def remove_recorder():
        logger.removeHandler(context.recorder)
        logger.setLevel(old_settings[0])
        logger.propagate = old_settings[1]

    context.closers.append(remove_recorder)


def _table(entry):
    state = entry.state
    return state.control.table


async def _start_entry(context, name, seeds=()):
    entry = Entry(
        EntrySettings(
            name=name,
            port=0,
            admin_port=0,
            store_url=context.stand_in.url,
            address_lifetime_seconds=0.1,
            address_lag_seconds=0,
            vm_list_url=context.vm_list_url,
            peers=','.join(str(_table(seed).me.peers) for seed in seeds),
        ),
    )
    await entry.start()
    context.entries[name] = entry
    context.closers.append(entry.stop)
    return entry


async def _start_fleet(context, count):
    tables = build_tables(0, [build_route()], [build_pool()])
    await commit(context.store, await read_tables(context.store), tables)
    for number in range(count):
        await _start_entry(context, f'entry-{number}')
    await _wait_until(lambda: _all_have_revision(context, 1))
    await _wait_until(
        lambda: all(
            len(entry.state.control.live_members()) == count - 1
            for entry in context.entries.values()
        ),
    )


def _all_have_revision(context, revision):
    return all(
        entry.state.installed.tables.revision == revision
        for entry in context.entries.values()
    )


@given('{count:d} entries with tables at revision 1')
def start_entries(context, count):
    async def start():
        await _start_store(context)
        await _start_fleet(context, count)

    _run(context, start())


@given('{count:d} entries with tables at revision 1 and a VM list')
def start_entries_with_vms(context, count):
    async def start():
        await _start_store(context)
        context.vm_stand_in = VmListStandIn(lag_seconds=0)
        await context.vm_stand_in.start()
        context.closers.append(context.vm_stand_in.stop)
        context.vm_list_url = context.vm_stand_in.url
        await _start_fleet(context, count)

    _run(context, start())


@given('a store that is unavailable')
def start_unavailable_store(context):
    _run(context, _start_store(context))
    context.stand_in.faults.is_out = True


@when('the store is unreachable for "{name}"')
def cut_off_entry(context, name):
    context.stand_in.faults.cut_off.add(name)


@when('the store is unreachable for all entries but "{name}"')
def cut_off_all_but(context, name):
    context.stand_in.faults.cut_off.update(set(context.entries) - {name})


@when('a store outage starts')
def start_store_outage(context):
    async def wait_and_start_outage():
        # Wait until one entry has installed the last commit.
        revision = (
            context.stand_in.values
            and (await read_head(context.store)).head.revision
        )
        await _wait_until(
            lambda: any(
                entry.state.installed.tables.revision == revision
                for entry in context.entries.values()
            ),
        )
        context.stand_in.faults.is_out = True

    _run(context, wait_and_start_outage())


async def _accept(context, route):
    base = await read_tables(context.store)
    edited = apply_routes(
        base.tables,
        [build_route(route, path_prefix=f'/{route}')],
    )
    return await commit(context.store, base, edited, author='test')


@when('a change is accepted')
def accept_change(context):
    async def accept():
        await _accept(context, 'second')

    _run(context, accept())


@when('the new entry "{name}" starts with the others as seeds')
def start_new_entry_with_seeds(context, name):
    seeds = tuple(context.entries.values())
    _run(context, _start_entry(context, name, seeds))


@when('the new entry "{name}" starts without seeds')
def start_new_entry(context, name):
    _run(context, _start_entry(context, name))


@when("a change is accepted and sent to entries by the operator's command")
def accept_and_offer_to_entries(context):
    async def accept():
        client = PeerClient()
        members = await find_members(context.store)
        base = await read_tables(context.store)
        edited = apply_routes(base.tables, [build_route('second')])
        accepted = await commit_snapshot(context.store, base, edited)
        context.stand_in.faults.is_out = True
        random_source = random.Random(1)
        accepting = await offer_to_entries(
            client, members, accepted.snapshot, random_source
        )
        await client.close()
        assert accepting > 0

    _run(context, accept())


@when('a copy of the store is taken')
def take_copy(context):
    context.copied_values = dict(context.stand_in.values)


def _reset_store(context, values):
    context.stand_in.values.clear()
    context.stand_in.values.update(values)
    context.stand_in.wake_watches()


@when('the content of the store is reset to the copy')
def reset_to_copy(context):
    _run(context, _wait_until(lambda: _all_have_revision(context, 2)))
    _reset_store(context, context.copied_values)


@when('the content of the store is reset to nothing')
def reset_to_nothing(context):
    _run(context, _wait_until(lambda: _all_have_revision(context, 2)))
    _reset_store(context, {})


@when(
    'the content of the store is reset to the copy and changed twice while '
    'unreachable for entries',
)
def reset_to_copy_and_change(context):
    async def change():
        await _wait_until(lambda: _all_have_revision(context, 2))
        context.stand_in.faults.cut_off.update(context.entries)
        _reset_store(context, context.copied_values)
        await _accept(context, 'third')
        await _accept(context, 'fourth')
        context.stand_in.faults.cut_off.clear()

    _run(context, change())


async def _wait_for_fence(context):
    async with time_limit(_TIMEOUT_SECONDS):
        while (await read_head(context.store)).head.fence is None:
            await asyncio.sleep(0.02)


@when('the store is fenced')
def wait_for_fence(context):
    _run(context, _wait_for_fence(context))


@then('the store is fenced and an event 204 was logged')
def check_fence(context):
    _run(context, _wait_for_fence(context))
    _run(context, _wait_until(lambda: 204 in context.recorder.events))


@then('a further change is rejected with code "{code}"')
def check_rejection(context, code):
    try:
        _run(context, _accept(context, 'third'))
    except CodedError as error:
        assert error.code == code, error
    else:
        raise AssertionError('the change was accepted')


@then('all entries have revision {revision:d} in force')
def check_revision(context, revision):
    _run(context, _wait_until(lambda: _all_have_revision(context, revision)))


@then('"{name}" is ready at revision {revision:d}')
def check_ready(context, name, revision):
    state = context.entries[name].state
    _run(
        context,
        _wait_until(lambda: state.installed.tables.revision == revision),
    )
    assert readiness_reason(state) == ''


@then('"{name}" is not ready and the reason mentions the store and the peers')
def check_not_ready(context, name):
    state = context.entries[name].state
    _run(context, _wait_until(lambda: state.control.watcher.is_out))
    reason = readiness_reason(state)
    assert 'the store does not answer' in reason, reason
    assert 'any of 0 peers' in reason, reason


@then('the new entry "{name}" gets revision {revision:d}')
def check_new_entry(context, name, revision):
    seeds = tuple(context.entries.values())

    async def check():
        entry = await _start_entry(context, name, seeds)
        await _wait_until(
            lambda: entry.state.installed.tables.revision == revision,
        )

    _run(context, check())


@when('an operator restores the tables from the entries')
def restore_tables(context):
    state = context.entries['entry-0'].state
    installed_snapshot = state.installed.snapshot
    _run(
        context,
        restore(
            context.store,
            installed_snapshot,
            Authorship('operator', 'the store was reset', time.time()),
            new_change_id(),
        ),
    )


@then('all entries have the routes of all accepted changes in force')
def check_all_routes(context):
    route_names = {'cards', 'second', 'third', 'fourth'}

    def are_all_in_force():
        return all(
            set(entry.state.installed.tables.routes) == route_names
            for entry in context.entries.values()
        )

    _run(context, _wait_until(are_all_in_force))


@when('"{name}" is told to stop')
def stop_entry(context, name):
    entry = context.entries[name]
    context.closers.remove(entry.stop)
    _run(context, entry.stop())


@then('the other entries see "{name}" as leaving')
def check_leaving(context, name):
    others = [
        entry for other, entry in context.entries.items() if other != name
    ]

    def is_seen_as_leaving():
        return all(
            _table(entry).state_of(name) is MemberState.LEAVING
            for entry in others
        )

    _run(context, _wait_until(is_seen_as_leaving))
    for entry in others:
        names = [member.name for member in entry.state.control.live_members()]
        assert name not in names


@then("the reporter's directory still lists the others")
def check_directory(context):
    text = context.stand_in.values['zinniaturn/members/default'].value
    assert 'entry-0' in text, text
    assert 'entry-2' in text, text


@when('the VM list marks "{name}" as leaving')
def mark_as_leaving(context, name):
    async def change():
        for other in context.entries:
            state = VmState.LEAVING if other == name else VmState.LIVE
            context.vm_stand_in.put(ListedVm(other, '127.0.0.1', state))

    _run(context, change())


@then(
    'an entry with the address "{host}" for peers is rejected with code '
    '"{code}"',
)
def check_insecure(context, host, code):
    async def start():
        await _start_store(context)
        entry = Entry(
            EntrySettings(
                name='entry-0',
                port=0,
                admin_port=0,
                store_url=context.stand_in.url,
                address_lifetime_seconds=0.1,
                address_lag_seconds=0,
                peer_host=host,
            ),
        )
        context.closers.append(entry.stop)
        try:
            await entry.start()
        except CodedError as error:
            return error.code
        return ''

    assert _run(context, start()) == code
