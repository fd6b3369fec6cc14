"""Steps of commits."""

import json

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings, strategies

from features.support.builders import build_pool, build_route, build_tables
from features.support.fakes import MemoryStore
from zinniaturn.configuration import (
    apply_pools,
    apply_routes,
    commit,
    delete_pools,
    delete_routes,
    diff_tables,
    read_tables,
    settle,
)
from zinniaturn.configuration.layout import HEAD_KEY, read_head
from zinniaturn.errors import CodedError
from zinniaturn.tables import Tables


@given(
    'a store with the pools "{first}" and "{second}" '
    'and a route "{route}" to "{pool}"',
)
def start_with_tables(context, first, second, route, pool):
    context.store = MemoryStore()
    context.outcomes = {}
    context.errors = {}
    tables = build_tables(
        0,
        [build_route(route, pool)],
        [build_pool(first), build_pool(second)],
    )
    _run(context, commit(context.store, _read(context), tables))


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def _read(context):
    return _run(context, read_tables(context.store))


def _commit(context, operator, edit, **options):
    base = context.bases[operator]
    change_id = f'change-of-{operator}'
    try:
        _run(
            context,
            commit(
                context.store,
                base,
                edit(base.tables),
                author=operator,
                change_id=change_id,
                **options,
            ),
        )
    except CodedError as error:
        context.outcomes[operator] = error.code
        context.errors[operator] = error
    else:
        context.outcomes[operator] = 'accepted'


@when('Anna and Bolor both read the tables')
def read_both(context):
    context.bases = {'Anna': _read(context), 'Bolor': _read(context)}


@when('{operator} adds the route "{route}" to "{pool}"')
def add_route(context, operator, route, pool):
    rows = [build_route(route, pool)]
    _commit(context, operator, lambda tables: apply_routes(tables, rows))


@when('{operator} deletes the pool "{pool}"')
def delete_pool(context, operator, pool):
    _commit(context, operator, lambda tables: delete_pools(tables, [pool]))


@when('{operator} adds the pool "{pool}" without permission to initialize')
def add_pool_uninitialized(context, operator, pool):
    rows = [build_pool(pool)]
    _commit(
        context,
        operator,
        lambda tables: apply_pools(tables, rows),
        may_initialize=False,
    )


@when("the swap's reply is lost")
def lose_swap_reply(context):
    context.store.lose_replies(HEAD_KEY, 1)


@when('the store becomes unavailable right after the swap takes effect')
def fail_store_after_swap(context):
    context.store.fail_after(HEAD_KEY)


@when('the store becomes unavailable when the swap arrives')
def fail_store_before_swap(context):
    context.store.fail_before(HEAD_KEY)


@when('the store is available again')
def restore_store(context):
    context.store.is_out = False


@when('the store loses all its keys')
def reset_to_nothing(context):
    context.store.values.clear()


@when('{count:d} changes are accepted')
def accept_many(context, count):
    async def accept_all():
        for number in range(count):
            base = await read_tables(context.store)
            route = build_route('moving', 'card', path_prefix=f'/p{number}')
            await commit(
                context.store,
                base,
                apply_routes(base.tables, [route]),
                change_id=f'change-{number}',
            )

    _run(context, accept_all())


@then('both changes were accepted')
def check_both(context):
    assert context.outcomes == {'Anna': 'accepted', 'Bolor': 'accepted'}, (
        context.outcomes
    )


@then("{operator}'s change was accepted")
def check_accepted(context, operator):
    assert context.outcomes[operator] == 'accepted', context.errors


@then('{operator}\'s change was rejected as "{code}"')
def check_refused(context, operator, code):
    assert context.outcomes[operator] == code, context.outcomes


@then('the error shows "{first}" and "{second}"')
def check_versions(context, first, second):
    text = str(context.errors['Bolor'])
    assert f"pool='{first}'" in text, text
    assert f"pool='{second}'" in text, text


@then('the tables have the routes "{names}"')
def check_routes(context, names):
    assert sorted(_read(context).tables.routes) == names.split(', ')


@then('the revision is {revision:d}')
def check_revision(context, revision):
    assert _read(context).tables.revision == revision


@then("settling {operator}'s change reports revision {revision:d}")
def check_settled(context, operator, revision):
    settlement = _run(context, settle(context.store, f'change-of-{operator}'))
    assert settlement.revision == revision, settlement


@then("settling {operator}'s change reports that it was not accepted")
def check_not_accepted(context, operator):
    settlement = _run(context, settle(context.store, f'change-of-{operator}'))
    assert settlement.revision is None, settlement


@then('the swap in flight fails when it arrives late')
def check_late_swap(context):
    assert context.store.deliver_held_writes() == ['store-conflict']


@then('settling the first of them reports revision {revision:d}')
def check_first(context, revision):
    settlement = _run(context, settle(context.store, 'change-0'))
    assert settlement.revision == revision, settlement


def _segment_keys(context):
    return [key for key in context.store.values if '/segments/' in key]


@then('the store holds at most {count:d} segments for each bucket in use')
def check_garbage(context, count):
    head = _run(context, read_head(context.store)).head
    assert len(_segment_keys(context)) <= count * len(head.segments)


@then('every segment key is listed in the head or in an intent')
def check_known(context):
    head = _run(context, read_head(context.store)).head
    known = {ref.key for ref in head.segments.values()}
    known.update(segment.key for segment in head.retired)
    for key, entry in context.store.values.items():
        if '/intents/' in key:
            for intent in json.loads(entry.value):
                known.update(intent['keys'])
    assert set(_segment_keys(context)) <= known


_NAMES = ('a', 'b', 'c')
_EDITS = strategies.one_of(
    strategies.tuples(
        strategies.just('add-route'),
        strategies.sampled_from(_NAMES),
        strategies.sampled_from(_NAMES),
    ),
    strategies.tuples(
        strategies.sampled_from(
            ('delete-route', 'add-pool', 'grow-pool', 'delete-pool'),
        ),
        strategies.sampled_from(_NAMES),
        strategies.just(''),
    ),
)


def _apply(edit, tables):
    kind, name, pool = edit
    match kind:
        case 'add-route':
            return apply_routes(tables, [build_route(name, pool)])
        case 'delete-route':
            return delete_routes(tables, [name])
        case 'add-pool':
            return apply_pools(tables, [build_pool(name)])
        case 'grow-pool':
            return apply_pools(tables, [build_pool(name, 3)])
        case _:
            return delete_pools(tables, [name])


async def _edit(store, base, edit):
    try:
        edited = _apply(edit, base.tables)
        accepted = await commit(store, base, edited)
    except CodedError:
        return None
    # An empty edit makes no revision, so the later check has to leave it out.
    return None if diff_tables(base.tables, edited).is_empty() else accepted


async def _commit_concurrently(first, second):
    store = MemoryStore()
    start = build_tables(
        0,
        [build_route('a', 'a')],
        [build_pool('a'), build_pool('b')],
    )
    await commit(store, await read_tables(store), start)
    base = await read_tables(store)
    results = [
        (edit, await _edit(store, base, edit)) for edit in (first, second)
    ]
    final = (await read_tables(store)).tables
    expected = base.tables
    for edit, result in results:
        if result is not None:
            expected = _apply(edit, expected)
    assert Tables(0, final.routes, final.pools) == Tables(
        0,
        expected.routes,
        expected.pools,
    )
    for route in final.routes.values():
        assert route.pool in final.pools


@then('no accepted change is lost for any two edits of two operators')
def check_any_two(context):
    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @for_all(first=_EDITS, second=_EDITS)
    def check(first, second):
        context.loop.run_until_complete(_commit_concurrently(first, second))

    check()
