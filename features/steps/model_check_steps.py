"""Steps of the exhaustive model check."""

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


def _read_stored_head(shared):
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


def _check_reported_outcomes(operators, shared):
    head = _read_stored_head(shared)
    for operator in operators:
        revision = head.revision_of(f'change-{operator.name}')
        if operator.outcome == 'accepted':
            assert revision is not None, 'an accepted change was lost'
        if operator.outcome == 'refused':
            assert revision is None, 'a refused change took effect'


async def _check_references(shared):
    store = MemoryStore()
    store.values = shared.values
    store.version = shared.version
    tables = (await read_tables(store)).tables
    for route in tables.routes.values():
        assert route.pool in tables.pools, 'a route dangles'
    return tables


@then(
    'every order of two {changes} with at most {faults:d} faulty swaps '
    'preserves the invariants',
)
def check_operators(context, changes, faults):
    values, version = _start_values(context)
    edits = _CHANGES[changes]
    outcomes = set()

    async def run_once(choices):
        operators = []
        initial_store = MemoryStore()
        initial_store.values = values
        base = await read_tables(initial_store) if faults else None
        run = Interleaving(
            choices,
            faults,
            lambda: _check_reported_outcomes(operators, run.shared),
        )
        run.shared.values = dict(values)
        run.shared.version = version
        operators.extend(
            _Operator(name, run.store(name), edit, base)
            for name, edit in zip('ab', edits, strict=True)
        )
        await run.run({operator.name: operator.run() for operator in operators})
        tables = await _check_references(run.shared)
        reported = tuple(operator.outcome for operator in operators)
        outcomes.add(reported)
        if faults < 2:
            _check_expected_outcomes(changes, operators)
        if changes == 'disjoint changes':
            for operator in operators:
                assert (operator.outcome == 'accepted') == (
                    operator.name in tables.routes
                )

    with mock.patch('zinniaturn.configuration.commit._BACKOFF_SECONDS', 0):
        runs = explore(context.loop, run_once)
    print(f'{changes}, {faults} faults: {runs} orders, reported {outcomes}')
    assert runs >= 6, runs


def _check_expected_outcomes(changes, operators):
    reported = [operator.outcome for operator in operators]
    if changes == 'disjoint changes' or reported == ['accepted', 'accepted']:
        assert reported == ['accepted', 'accepted'], reported
    else:
        assert sorted(reported) == ['accepted', 'refused'], reported
    if changes != 'disjoint changes' and reported[0] == reported[1]:
        # Both may be accepted only if the later one was made on the earlier.
        first, second = sorted(
            (operator.accepted for operator in operators),
            key=lambda accepted: accepted.snapshot.head.revision,
        )
        assert second.base_revision >= first.snapshot.head.revision


class _Entries:
    """Two entries; each may only install descendants of its revision."""

    def __init__(self, run):
        self.store = run.store('watcher')
        self.installed = (InstalledTables(), InstalledTables())
        self.last_heads = [None, None]
        self.watcher = StoreWatcher(
            self.store,
            self.installed[0],
            random.Random(1),
            'entry-0',
            ManualClock(),
        )

    async def watch(self, steps):
        for _ in range(steps):
            with contextlib.suppress(CodedError):
                await self.watcher.poll_once()

    async def fetch_from_peer(self, store):
        await store.take_turn()
        self.installed[1].install_snapshot(self.installed[0].snapshot)

    def check(self):
        for index, installed in enumerate(self.installed):
            before, current = self.last_heads[index], installed.head
            if before is not None and before.revision:
                assert current.revision >= before.revision, (
                    'an entry installed an older revision'
                )
                is_same_history = (
                    current.chain_at(before.revision) == before.chain
                    or before.position in current.merged
                )
                assert is_same_history, 'an entry installed a fork'
            self.last_heads[index] = current


@then(
    'every order of a change, a watcher, a peer and a reset preserves the '
    'invariants',
)
def check_reset(context):
    values, version = _start_values(context)
    edits = _CHANGES['disjoint changes']
    outcomes = set()

    async def run_once(choices):
        run = Interleaving(choices, 0, lambda: entries.check())
        run.shared.values = dict(values)
        run.shared.version = version
        entries = _Entries(run)
        operator = _Operator('a', run.store('a'), edits[0])
        # The entries have installed one change that the reset removes.
        held = MemoryStore()
        held.values = dict(values)
        held.version = version
        base = await read_tables(held)
        second = await commit_snapshot(held, base, edits[1](base.tables))
        run.shared.values = dict(held.values)
        run.shared.version = held.version
        for installed in entries.installed:
            installed.install_snapshot(second.snapshot)

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
                'a': _commit_and_install(operator, entries),
                'watcher': entries.watch(2),
                'peer': entries.fetch_from_peer(run.store('peer')),
                'reset': reset(),
            },
        )
        outcomes.add(await _restore_lost_revisions(run, entries, operator))

    with mock.patch('zinniaturn.configuration.commit._BACKOFF_SECONDS', 0):
        runs = explore(context.loop, run_once)
    print(f'reset: {runs} orders, outcomes {outcomes}')
    assert runs > 100, runs


async def _commit_and_install(operator, entries):
    await operator.run()
    if operator.accepted is not None:
        await operator.store.take_turn()
        entries.installed[0].install_snapshot(operator.accepted.snapshot)


async def _restore_lost_revisions(run, entries, operator):
    """Restore as an operator does, and check that no accepted row is lost."""
    store = MemoryStore()
    store.values = run.shared.values
    store.version = run.shared.version
    newest = max(
        (installed.snapshot for installed in entries.installed),
        key=lambda snapshot: snapshot.head.revision,
    )
    restore_result = 'restored'
    try:
        await restore(
            store,
            newest,
            Authorship('test', '', 0),
            new_change_id(),
        )
    except OverlapError:
        raise AssertionError('disjoint changes overlap') from None
    except CodedError:
        restore_result = 'nothing lost'
    entries.watcher.store = store
    entries.watcher.version = -1
    await entries.watcher.poll_once()
    tables = entries.installed[0].tables
    entries.check()
    assert 'b' in tables.routes, (
        'the change that the entries had installed is lost'
    )
    if operator.outcome == 'accepted':
        assert 'a' in tables.routes, 'an accepted change is lost'
    return operator.outcome, restore_result


_LEASE_STEPS = ('renew', 'act', 'pause', 'successor', 'tick')
_TTL_SECONDS = 10.0


@then(
    'every order of up to {bound:d} steps of two lease holders '
    'preserves the invariants',
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
        for step in _LEASE_STEPS
        for after in _lease_step(state, step)
    )


def _lease_step(state, step):
    """
    Return the states after a step of the first holder or its successor.

    A state is the current time, the time at which the first holder's term
    began, the successor's fencing token (0 before there is a successor) and
    the fencing tokens of the actions that the receiver has accepted.
    """
    now, term_began, successor, actions = state
    has_lapsed = now >= term_began + _TTL_SECONDS
    match step:
        case 'tick':
            return [(now + 4, term_began, successor, actions)]
        case 'pause':
            return [(now + 11, term_began, successor, actions)]
        case 'renew':
            # The holder renews only while it may act, so the store agrees.
            if lease_is_held(term_began, _TTL_SECONDS, now):
                assert not has_lapsed, 'the holder acts after the lease ended'
                assert not successor, 'two holders at once'
                return [(now, now, successor, actions)]
            return []
        case 'successor':
            if has_lapsed and not successor:
                return [(now, term_began, 2, (*actions, 2))]
            return []
    # An action that was checked in time may still arrive after a pause.
    if not lease_is_held(term_began, _TTL_SECONDS, now):
        return []
    return [
        _deliver_action((now, term_began, successor, actions), 1),
        _deliver_action(
            (now + 11, term_began, successor or 2, (*actions, 2)), 1
        ),
    ]


def _deliver_action(state, fencing):
    now, term_began, successor, actions = state
    gate = FencingGate()
    for earlier_fencing in actions:
        gate.admit('report', earlier_fencing)
    if gate.admit('report', fencing):
        assert 2 not in actions, 'a former holder acted'
        return (now, term_began, successor, (*actions[-1:], fencing))
    return state
