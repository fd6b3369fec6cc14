"""Steps of gateways before two data centres, one of which is evacuated."""

import asyncio
import itertools

from behave import given, then, when

from features.support.cut_links import cut_links, wait_until_acquainted
from features.support.cut_traffic import NOT_RUN_STATUSES, CutTraffic
from features.support.gateway import SmallPlatform, wait_until
from features.support.two_centers import (
    EVACUATE_SECONDS,
    FOLLOWERS,
    OTHERS,
    add_gateways,
    arrivals_at,
    evacuate,
    probes_at,
    run_ids_at,
    start_servers,
    take_back,
)
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.metrics import render_metrics
from zinniaturn.gateway.request_context import Placement
from zinniaturn.platform.standins import ServerFault, StoreFault
from zinniaturn.standins.vm_links import CutShape

_SETTLE_SECONDS = 0.5
_METRIC = b'\nzinniaturn_gateway_data_centres_evacuated '


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def _start(context, following, others):
    async def start():
        context.platform = SmallPlatform(context)
        await start_servers(context.platform)
        context.others = await add_gateways(context, OTHERS[:others], 0)
        context.followers = await add_gateways(
            context, FOLLOWERS[:following], EVACUATE_SECONDS
        )
        await wait_until_acquainted(context)

    _run(context, start())
    context.traffic = CutTraffic(context.platform)


@given('{count:d} gateways that follow evacuations before two data centres')
def start_following(context, count):
    _start(context, count, 0)


@given(
    '{count:d} gateways that follow evacuations before two data centres, and '
    '{others:d} that {verb}'
)
def start_mixed(context, count, others, verb):
    _start(context, count, others)


@given('each server takes {seconds:g} s for a request')
def set_seconds(context, seconds):
    for server in context.platform.servers:
        server.work_seconds = seconds


@given('each server takes {seconds:g} s for a request and has 1 slot')
def set_one_slot(context, seconds):
    set_seconds(context, seconds)
    for server in context.platform.servers:
        server.slots = 1
        server.queue = 0
        server.slot_semaphore = asyncio.Semaphore(1)
        context.platform.store.write(
            f'servers/{server.name}', context.platform.entry_of(server)
        )

    async def learn():
        gateway = context.platform.gateways[0]
        await wait_until(
            lambda: all(
                registered.server.slots == 1
                for registered in gateway.fleet_state.servers.values()
            )
        )

    _run(context, learn())


@given('server "{name}" sheds every request')
def shed(context, name):
    for server in context.platform.servers:
        if server.name == name:
            server.default_fault = ServerFault.SHED


@when('"{name}" is evacuated in the store')
def evacuate_in_store(context, name):
    evacuate(context.platform, name)


@when('"{name}" is evacuated and all gateways know it')
def evacuate_and_wait(context, name):
    evacuate(context.platform, name)
    _wait(context, lambda gateway: name in gateway.fleet_state.evacuated)


@when("both data centres are evacuated without a moment's delay")
def evacuate_both(context):
    evacuate_now(context, 'dc-a')
    evacuate_now(context, 'dc-b')


@when('"{name}" is no longer evacuated and all gateways know it')
def return_and_wait(context, name):
    take_back(context.platform, name)
    _wait(context, lambda gateway: name not in gateway.fleet_state.evacuated)


@when('what was reported of "{name}" is outdated')
def let_reports_age(context, name):
    _run(context, asyncio.sleep(_SETTLE_SECONDS))


def _wait(context, condition):
    """Wait for the gateways that follow; it may take as long as the bound."""
    _run(
        context,
        wait_until(
            lambda: all(map(condition, context.followers)),
            EVACUATE_SECONDS,
        ),
    )
    context.arrivals = arrivals_at(context.platform, 'dc-a')


@when('each gateway gets {reads:d} reads and {posts:d} posts')
@when('each gateway that follows gets {reads:d} reads and {posts:d} posts')
def send_all(context, reads, posts):
    numbers = [
        number
        for number, gateway in enumerate(context.platform.gateways, 1)
        if gateway in context.followers
    ]
    kinds = [*itertools.repeat(False, reads), *itertools.repeat(True, posts)]

    async def play():
        tries = []
        for is_post in kinds:
            sends = [context.traffic.send(one, is_post) for one in numbers]
            tries.extend(await asyncio.gather(*sends))
        return tries

    context.tries = _run(context, play())


@when('each gateway gets {posts:d} posts together')
def send_together(context, posts):
    async def play():
        numbers = range(1, len(context.platform.gateways) + 1)
        sends = [
            context.traffic.send(number, is_post=True)
            for number in numbers
            for _ in range(posts)
        ]
        return await asyncio.gather(*sends)

    context.tries = _run(context, play())


def _runners(context, name):
    ids = run_ids_at(context.platform, name)
    return [one for one in context.tries if one.request_id.encode() in ids]


@then('all of them are served, none by "{name}"')
def check_served_elsewhere(context, name):
    assert all(one.is_served for one in context.tries), context.tries
    check_none(context, name)


@then('all of them are served, some by "{name}"')
def check_served_there(context, name):
    assert all(one.is_served for one in context.tries), context.tries
    assert _runners(context, name)


@then('none of them is run by "{name}"')
def check_none(context, name):
    assert not _runners(context, name)
    if name in context.followers[0].fleet_state.evacuated:
        assert arrivals_at(context.platform, name) == context.arrivals


@then('some of them are served')
def check_some(context):
    assert any(one.is_served for one in context.tries), context.tries


def _rows(gateway, event):
    return [row for row in gateway.event_log.rows if row['event'] == event]


def _only_row(gateway, event):
    rows = _rows(gateway, event)
    assert len(rows) == 1, rows
    return rows[0]


@then(
    'each gateway has logged the evacuation of "{name}" with {servers:d} '
    'servers once'
)
def check_logged(context, name, servers):
    for gateway in context.followers:
        row = _only_row(gateway, LogEvent.DATA_CENTRES_EVACUATED)
        assert row['data_centres'] == (name,), row
        assert row['servers'] == servers, row
        assert row['revision'] > 0, row
        assert 0 <= row['age_ms'] < EVACUATE_SECONDS * 1000, row


@then('each gateway has logged the return of "{name}"')
def check_return_logged(context, name):
    for gateway in context.followers:
        row = _only_row(gateway, LogEvent.DATA_CENTRES_RETURNED)
        assert row['data_centres'] == (name,), row


@then("each gateway's metrics show {count:d} evacuated data centre")
def check_metrics(context, count):
    for gateway in context.followers:
        text = render_metrics(gateway.state)
        assert _METRIC + str(count).encode() in text, text


@when('the probes under way have ended')
def end_probes(context):
    _run(context, asyncio.sleep(_SETTLE_SECONDS))
    context.probes = probes_at(context.platform, 'dc-a')


@then('no server of "{name}" was probed meanwhile')
def check_no_probes(context, name):
    assert probes_at(context.platform, name) == context.probes


def _send_in_background(context, posts, reads=0):
    async def start():
        sends = [context.traffic.send(1, is_post=True) for _ in range(posts)]
        tasks = [asyncio.ensure_future(one) for one in sends]
        await asyncio.sleep(0.2)
        later = [context.traffic.send(1) for _ in range(reads)]
        context.waiting = [asyncio.ensure_future(one) for one in later]
        await asyncio.sleep(0.05)
        return tasks

    context.sent = _run(context, start())


@when('{count:d} posts run at the servers')
def run_posts(context, count):
    _send_in_background(context, count)
    context.running = run_ids_at(context.platform, 'dc-a')
    assert context.running, 'no post runs in dc-a'


@when('{count:d} posts run at the servers and {reads:d} reads wait')
def run_and_wait(context, count, reads):
    _send_in_background(context, count, reads)
    context.running = run_ids_at(context.platform, 'dc-a')
    assert context.running, 'no post runs in dc-a'


@when('{count:d} posts run or wait')
def run_or_wait(context, count):
    _send_in_background(context, count)


@when('"{name}" is evacuated without a moment\'s delay')
def evacuate_now(context, name):
    news = evacuate(context.platform, name)
    for gateway in context.followers:
        gateway.fleet_state.install_evacuations(news(gateway))


@then('the posts in flight are all answered by the servers that ran them')
def check_in_flight(context):
    tries = _run(context, asyncio.gather(*context.sent))
    for one in tries:
        assert one.is_served, one
    for server in context.platform.servers:
        assert not server.cancelled, server.name


@then('no read that waited was run by "{name}"')
def check_waiting(context, name):
    context.tries = _run(context, asyncio.gather(*context.waiting))
    assert len(_runners(context, 'dc-b')) > 0, 'no read was served'
    assert not _runners(context, name)


@then('the posts that waited are rejected as not run, and the others answered')
def check_rejected_waiting(context):
    tries = _run(context, asyncio.gather(*context.sent))
    rejected = [one for one in tries if not one.is_served]
    assert rejected and len(rejected) < len(tries), tries
    for one in rejected:
        assert one.status == 503, one
        assert not context.traffic.runs(one), one
        assert one.seconds < 0.5, one


@then(
    'all of them are rejected as not run within {seconds:g} s, to return after '
    '{least:g} to {most:g} s'
)
def check_rejected(context, seconds, least, most):
    for one in context.tries:
        assert one.status == 503, one
        assert one.status in NOT_RUN_STATUSES
        assert one.seconds < seconds, one
        assert least <= float(one.fields['retry-after']) <= most, one
        assert not context.traffic.runs(one), one


@then('each rejection is logged with servers withheld as "{reason}"')
def check_withheld(context, reason):
    for gateway in context.followers:
        for row in _rows(gateway, LogEvent.REQUEST_ENDED):
            assert reason in str(row['withheld']), row


@when('"{name}" is evacuated just after a {kind} was placed there')
def evacuate_after_placement(context, name, kind):
    gateway = context.followers[0]
    scheduler = gateway.dispatcher.attempt_runner.scheduler
    place = scheduler.place
    context.placed = []

    async def place_and_evacuate(request):
        placement = await place(request)
        assert isinstance(placement, Placement)
        registered = placement.candidate.registered
        is_there = registered.server.data_center == name
        if is_there and not context.placed:
            context.placed.append(placement.candidate.name)
            context.arrivals = arrivals_at(context.platform, name)
            gateway.fleet_state.install_evacuations(
                evacuate(context.platform, name)(gateway)
            )
        return placement

    scheduler.place = place_and_evacuate

    async def send():
        while not context.placed:
            context.one = await context.traffic.send(1, is_post=kind == 'post')

    _run(context, send())


@then('it is served by "{name}" and was never sent to "{other}"')
def check_placed_anew(context, name, other):
    rows = _rows(context.followers[0], LogEvent.REQUEST_ENDED)
    assert context.one.is_served, rows[-1]
    context.tries = [context.one]
    assert _runners(context, name)
    assert arrivals_at(context.platform, other) == context.arrivals
    state = context.followers[0].state
    assert state.counters.events['evacuated_before_send'] == 1


@when('gateway 1 loses its links to all servers')
def lose_links(context):
    number = context.platform.gateways.index(context.followers[0]) + 1
    cut_links(context, [number], CutShape.HANG)


@then('gateway 1 has passed requests on, to gateway 2 only')
def check_passed_on(context):
    first, second = context.followers
    rows = _rows(first, LogEvent.REQUEST_ENDED)
    passed_to = {name for row in rows for name in row['passed_to']}
    assert passed_to == {second.vms.own.name}, passed_to


@when('the store refuses gateway 2')
def refuse(context):
    context.refused = context.followers[1].settings.host
    store = context.platform.store
    store.faults[context.refused] = StoreFault.BUSY


@then('gateway 2 has not read the store meanwhile')
def check_refused(context):
    store = context.platform.store
    assert store.faults[context.refused] is StoreFault.BUSY


@then("nothing is evacuated at the gateways that don't follow")
def check_others(context):
    for gateway in context.others:
        assert not gateway.fleet_state.evacuated
        assert not _rows(gateway, LogEvent.DATA_CENTRES_EVACUATED)


@when(
    'a gateway that follows evacuations starts and gets posts from the first '
    'moment on'
)
def start_follower(context):
    context.arrivals = arrivals_at(context.platform, 'dc-a')

    async def start():
        context.followers = await add_gateways(
            context, FOLLOWERS[:1], EVACUATE_SECONDS
        )
        number = len(context.platform.gateways)
        tries = []
        for _ in range(60):
            post = context.traffic.send(number, is_post=True)
            tries.append(asyncio.ensure_future(post))
            await asyncio.sleep(0.02)
        return await asyncio.gather(*tries)

    context.tries = _run(context, start())


@when('no gateway gets a reply of the store for {seconds:g} s')
def silence_store(context, seconds):
    context.platform.store.faults[''] = StoreFault.SILENT
    _run(context, asyncio.sleep(seconds))


@when('the store is silent, and the gateway resumes from a pause of 100 s')
def resume(context):
    context.platform.store.faults[''] = StoreFault.SILENT
    gateway = context.followers[0]

    async def pause():
        # No read that was begun before may end after the pause.
        await asyncio.sleep(_SETTLE_SECONDS)
        evacuations = gateway.fleet_state.evacuations
        evacuations.confirmed_at -= 100
        gateway.peers.pause_guard.long_resumed_at = (
            evacuations.clock.monotonic()
        )
        evacuations.unread_at = evacuations.clock.monotonic() - 1

    _run(context, pause())


@when('a read of the store has failed')
def fail_read(context):
    gateway = context.followers[0]
    _run(
        context,
        wait_until(lambda: not gateway.state.evacuations_are_in_doubt(), 3),
    )


@when('no read of the whole state ends any more')
def hang_reads(context):
    context.alone = []

    async def hang():
        await asyncio.Event().wait()

    def watch(gateway):
        read = gateway.store.read_evacuations

        async def read_alone(used):
            context.alone.append(gateway)
            return await read(used)

        gateway.store.read_snapshot = hang
        gateway.store.read_evacuations = read_alone

    for gateway in context.followers:
        watch(gateway)
    context.hung_at = context.loop.time()


@then('each gateway has read the evacuations alone at most once a second')
def check_reads_alone(context):
    seconds = context.loop.time() - context.hung_at
    for gateway in context.followers:
        reads = context.alone.count(gateway)
        assert reads <= seconds + 1, (reads, seconds)
    assert context.alone
