"""Steps of the exhaustive checks."""

import contextlib
import random
from types import MappingProxyType
from unittest import mock

from behave import then

from features.support.builders import build_pool, build_route, build_tables
from features.support.fakes import MemoryStore
from features.support.interleaving import Interleaving, explore
from zinniaturn.clock import ManualClock
from zinniaturn.configuration import (
    InstalledTables,
    StoreWatcher,
    apply_routes,
    delete_pools,
)
from zinniaturn.configuration.commit import (
    SettledChange,
    commit,
    commit_snapshot,
    new_change_id,
    read_tables,
    settle,
)
from zinniaturn.configuration.exceptions import (
    CommitUnknownError,
    OverlapError,
)
from zinniaturn.configuration.layout import HEAD_KEY, decode_stored_head
from zinniaturn.configuration.planning import Authorship
from zinniaturn.configuration.restoring import restore
from zinniaturn.errors import CodedError
from zinniaturn.membership.leases import FencingGate, lease_is_held
from zinniaturn.store import VersionedValue

_CHANGES = MappingProxyType(
    {
        'disjoint changes': (
            lambda tables: apply_routes(tables, [build_route('a', 'card')]),
            lambda tables: apply_routes(tables, [build_route('b', 'card')]),
        ),
        'overlapping changes': (
            lambda tables: apply_routes(tables, [build_route('a', 'card')]),
            lambda tables: apply_routes(tables, [build_route('a', 'ledger')]),
        ),
        'racing references': (
            lambda tables: apply_routes(tables, [build_route('a', 'ledger')]),
            lambda tables: delete_pools(tables, ['ledger']),
        ),
    }
)


def _start_values(context):
    store = MemoryStore()
    tables = build_tables(
        0,
        [build_route('cards', 'card')],
        [build_pool('card'), build_pool('ledger')],
    )

    async def start():
        await commit(store, await read_tables(store), tables)

    context.loop.run_until_complete(start())
    return store.values, store.version


def _head(shared):
    return decode_stored_head(
        shared.values.get(HEAD_KEY, VersionedValue())
    ).head


class _Operator:
    def __init__(self, name, store, edit, base=None):
        self.base = base
        self.name = name
        self.store = store
        self.edit = edit
        self.outcome = ''
        self.accepted = None

    async def run(self):
        change_id = f'change-{self.name}'
        try:
            base = self.base or await read_tables(self.store)
            edited = self.edit(base.tables)
            self.accepted = await commit_snapshot(
                self.store,
                base,
                edited,
                change_id=change_id,
            )
            self.outcome = 'accepted'
        except CommitUnknownError:
            settlement = await settle(self.store, change_id)
            assert isinstance(settlement, SettledChange)
            is_accepted = settlement.revision is not None
            self.outcome = 'accepted' if is_accepted else 'refused'
        except CodedError:
            self.outcome = 'refused'


def _check_told(operators, shared):
    head = _head(shared)
    for operator in operators:
        revision = head.revision_of(f'change-{operator.name}')
        if operator.outcome == 'accepted':
            assert revision is not None, 'an accepted change was lost'
        if operator.outcome == 'refused':
            assert revision is None, 'a refused change took effect'


async def _check_rows(shared):
    store = MemoryStore()
    store.values = shared.values
    store.version = shared.version
    tables = (await read_tables(store)).tables
    for route in tables.routes.values():
        assert route.pool in tables.pools, 'a route dangles'
    return tables


@then(
    'every order of two {changes} with at most {faults:d} faulty swaps '
    'keeps the promises',
)
def check_operators(context, changes, faults):
    values, version = _start_values(context)
    edits = _CHANGES[changes]
    outcomes = set()

    async def run_once(choices):
        operators = []
        started = MemoryStore()
        started.values = values
        base = await read_tables(started) if faults else None
        run = Interleaving(
            choices,
            faults,
            lambda: _check_told(operators, run.shared),
        )
        run.shared.values = dict(values)
        run.shared.version = version
        operators.extend(
            _Operator(name, run.store(name), edit, base)
            for name, edit in zip('ab', edits, strict=True)
        )
        await run.run({one.name: one.run() for one in operators})
        tables = await _check_rows(run.shared)
        told = tuple(one.outcome for one in operators)
        outcomes.add(told)
        if faults < 2:
            _check_expected(changes, operators)
        if changes == 'disjoint changes':
            for one in operators:
                assert (one.outcome == 'accepted') == (
                    one.name in tables.routes
                )

    with mock.patch('zinniaturn.configuration.commit._BACKOFF_SECONDS', 0):
        runs = explore(context.loop, run_once)
    print(f'{changes}, {faults} faults: {runs} orders, told {outcomes}')
    assert runs >= 6, runs


def _check_expected(changes, operators):
    told = [one.outcome for one in operators]
    if changes == 'disjoint changes' or told == ['accepted', 'accepted']:
        assert told == ['accepted', 'accepted'], told
    else:
        assert sorted(told) == ['accepted', 'refused'], told
    if changes != 'disjoint changes' and told[0] == told[1]:
        # Both count only where the later one had seen the earlier one.
        first, second = sorted(
            (one.accepted for one in operators),
            key=lambda accepted: accepted.snapshot.head.revision,
        )
        assert second.base_revision >= first.snapshot.head.revision


class _Entries:
    """Two entries; what each holds may only move along its history."""

    def __init__(self, run):
        self.store = run.store('follower')
        self.holders = (InstalledTables(), InstalledTables())
        self.seen = [None, None]
        self.watcher = StoreWatcher(
            self.store,
            self.holders[0],
            random.Random(1),
            'entry-0',
            ManualClock(),
        )

    async def follow(self, steps):
        for _ in range(steps):
            with contextlib.suppress(CodedError):
                await self.watcher.poll_once()

    async def exchange(self, store):
        await store.take_turn()
        self.holders[1].install_snapshot(self.holders[0].snapshot)

    def check(self):
        for index, holder in enumerate(self.holders):
            before, now = self.seen[index], holder.head
            if before is not None and before.revision:
                assert now.revision >= before.revision, 'an entry went back'
                is_same_history = (
                    now.chain_at(before.revision) == before.chain
                    or before.position in now.merged
                )
                assert is_same_history, 'an entry left its history'
            self.seen[index] = now


@then(
    'every order of a change, a follower, a peer and a reset keeps the '
    'promises',
)
def check_reset(context):
    values, version = _start_values(context)
    edits = _CHANGES['disjoint changes']
    ended = set()

    async def run_once(choices):
        run = Interleaving(choices, 0, lambda: entries.check())
        run.shared.values = dict(values)
        run.shared.version = version
        entries = _Entries(run)
        operator = _Operator('a', run.store('a'), edits[0])
        # The entries hold the start, and one change that the reset takes.
        held = MemoryStore()
        held.values = dict(values)
        held.version = version
        base = await read_tables(held)
        second = await commit_snapshot(held, base, edits[1](base.tables))
        run.shared.values = dict(held.values)
        run.shared.version = held.version
        for holder in entries.holders:
            holder.install_snapshot(second.snapshot)

        async def reset():
            store = run.store('reset')
            await store.take_turn()
            run.shared.values = {
                key: VersionedValue(entry.value, run.shared.version + 1)
                if key == HEAD_KEY
                else entry
                for key, entry in values.items()
            }
            run.shared.version += 1

        await run.run(
            {
                'a': _run_and_hand_over(operator, entries),
                'follower': entries.follow(2),
                'peer': entries.exchange(run.store('peer')),
                'reset': reset(),
            },
        )
        ended.add(await _heal(run, entries, operator))

    with mock.patch('zinniaturn.configuration.commit._BACKOFF_SECONDS', 0):
        runs = explore(context.loop, run_once)
    print(f'reset: {runs} orders, ended {ended}')
    assert runs > 100, runs


async def _run_and_hand_over(operator, entries):
    await operator.run()
    if operator.accepted is not None:
        await operator.store.take_turn()
        entries.holders[0].install_snapshot(operator.accepted.snapshot)


async def _heal(run, entries, operator):
    """Restore as an operator would, and check that no accepted row is lost."""
    store = MemoryStore()
    store.values = run.shared.values
    store.version = run.shared.version
    best = max(
        (holder.snapshot for holder in entries.holders),
        key=lambda one: one.head.revision,
    )
    restored = 'restored'
    try:
        await restore(
            store,
            best,
            Authorship('test', '', 0),
            new_change_id(),
        )
    except OverlapError:
        raise AssertionError('disjoint changes overlap') from None
    except CodedError:
        restored = 'level'
    entries.watcher.store = store
    entries.watcher.version = -1
    await entries.watcher.poll_once()
    tables = entries.holders[0].tables
    entries.check()
    assert 'b' in tables.routes, 'the change that the entries held is lost'
    if operator.outcome == 'accepted':
        assert 'a' in tables.routes, 'an accepted change is lost'
    return operator.outcome, restored


_STEPS = ('renew', 'act', 'pause', 'successor', 'tick')
_TTL = 10.0


@then(
    'every order of up to {bound:d} steps of two lease holders '
    'keeps the promises',
)
def check_leases(context, bound):
    visited = set()
    count = _explore_leases((0, 0, 0, ()), bound, visited)
    print(f'leases: {count} states')
    assert count > 1000, count


def _explore_leases(state, depth, visited):
    if (state, depth) in visited:
        return 0
    visited.add((state, depth))
    if not depth:
        return 1
    return 1 + sum(
        _explore_leases(after, depth - 1, visited)
        for step in _STEPS
        for after in _lease_step(state, step)
    )


def _lease_step(state, step):
    """
    Return the states after a step of the first holder or its successor.

    A state is the time, when the first holder's term began, the successor's
    fencing number (0 before there is one) and the acts that were received.
    """
    now, term_began, successor, acts = state
    lapsed = now >= term_began + _TTL
    match step:
        case 'tick':
            return [(now + 4, term_began, successor, acts)]
        case 'pause':
            return [(now + 11, term_began, successor, acts)]
        case 'renew':
            # The holder renews only while it may act; the store grants that.
            if lease_is_held(term_began, _TTL, now):
                assert not lapsed, 'the holder counts longer than the store'
                assert not successor, 'two holders at once'
                return [(now, now, successor, acts)]
            return []
        case 'successor':
            if lapsed and not successor:
                return [(now, term_began, 2, (*acts, 2))]
            return []
    # An act that was checked in time may still arrive late, after a pause.
    if not lease_is_held(term_began, _TTL, now):
        return []
    return [
        _receive((now, term_began, successor, acts), 1),
        _receive((now + 11, term_began, successor or 2, (*acts, 2)), 1),
    ]


def _receive(state, fencing):
    now, term_began, successor, acts = state
    gate = FencingGate()
    for earlier in acts:
        gate.admit('report', earlier)
    if gate.admit('report', fencing):
        assert 2 not in acts, 'an act of a former holder counted'
        return (now, term_began, successor, (*acts[-1:], fencing))
    return state
