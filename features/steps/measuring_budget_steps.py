"""Steps for the measuring budget."""

import asyncio
import random
import signal
import tempfile
from collections import deque
from pathlib import Path

import aiohttp
from behave import given, step, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.support.lease_store import LeaseStore
from zinniaturn.clock import ManualClock
from zinniaturn.experiments.choosing.fleet import ChoosingFleet
from zinniaturn.experiments.choosing.plan import Plan, city_workloads
from zinniaturn.experiments.cities import City, Service
from zinniaturn.probes import MeasuringInterval, PermitHolder
from zinniaturn.probes.pacing import measuring_interval_seconds

_TTL_SECONDS = 5
_STEP_SECONDS = 0.25
_LEASE_SECONDS = 1.0


class MeasuringEntries:
    """Permit holders on one store, which all measure the same server."""

    def __init__(self, count, budget, seed=1):
        self.budget = budget
        self.highest_budget = budget
        self.clock = ManualClock(100)
        self.store = LeaseStore(self.clock)
        self.random_source = random.Random(seed)
        self.holders = [
            PermitHolder(
                self.store,
                self.clock,
                self.random_source,
                f'entry-{number}',
                _TTL_SECONDS,
            )
            for number in range(count)
        ]
        self.intervals = [MeasuringInterval() for _ in self.holders]
        self.paused = set()
        self.measured = deque()
        self.peak = 0

    async def advance(self, seconds):
        """Advance the clock; entries not paused refresh and measure."""
        for _ in range(int(seconds / _STEP_SECONDS)):
            self.clock.advance(_STEP_SECONDS)
            for number, holder in enumerate(self.holders):
                if number in self.paused:
                    continue
                if self.random_source.random() < 0.3:
                    await holder.refresh({'card': self.budget})
                self._measure(number)

    def act(self, action, number):
        """Pause or resume an entry, or change the state of the store."""
        if action == 'pause':
            self.paused.add(number)
        elif action == 'resume':
            self.paused.discard(number)
        elif action == 'lose':
            self.store.forget()
        elif action != 'pass':
            self.store.is_out = action == 'out'

    def measuring(self):
        return [
            number
            for number, holder in enumerate(self.holders)
            if number not in self.paused and holder.may_measure('card')
        ]

    def _measure(self, number):
        now = self.clock.monotonic()
        interval = self.intervals[number]
        allowed = self.holders[number].may_measure('card')
        if not allowed or not interval.is_due(now):
            return
        interval.begin()
        interval.end(now, measuring_interval_seconds(self.budget))
        self.measured.append(now)
        while now - self.measured[0] >= 1:
            self.measured.popleft()
        self.peak = max(self.peak, len(self.measured))


def _run(context, awaitable):
    return context.loop.run_until_complete(awaitable)


@given('{count:d} entries that request permits of a budget of {budget:g}')
def open_entries(context, count, budget):
    context.entries = MeasuringEntries(count, budget)


@step('{seconds:d} seconds pass')
def pass_seconds(context, seconds):
    _run(context, context.entries.advance(seconds))


@step('the budget is {budget:g}')
def set_budget(context, budget):
    context.entries.budget = budget


@when('the entry that may measure is paused for {seconds:d} seconds')
def pause_entry(context, seconds):
    entries = context.entries
    context.paused_entry = entries.measuring()[0]
    entries.paused.add(context.paused_entry)
    _run(context, entries.advance(seconds))
    entries.paused.clear()


@when('the store loses its state')
def lose_store(context):
    context.entries.store.forget()


@when('the store is out for {seconds:d} seconds')
def put_store_out(context, seconds):
    context.entries.store.is_out = True
    _run(context, context.entries.advance(seconds))


@then('the paused entry may not measure')
def check_paused(context):
    holder = context.entries.holders[context.paused_entry]
    assert not holder.may_measure('card')


@then('{count:d} entries may measure')
def check_measuring(context, count):
    assert len(context.entries.measuring()) == count
    assert context.entries.peak <= context.entries.highest_budget


@then('at no time in {seconds:d} seconds do {count:d} entries measure')
def check_never(context, seconds, count):
    for _ in range(int(seconds / _STEP_SECONDS)):
        _run(context, context.entries.advance(_STEP_SECONDS))
        assert len(context.entries.measuring()) < count
    assert context.entries.measuring()


@then('the budget holds over any {count:d} steps of pauses, outages and losses')
def check_any_order(context, count):
    actions = st.lists(
        st.tuples(
            st.sampled_from(['pause', 'resume', 'out', 'back', 'lose', 'pass']),
            st.integers(0, 4),
            st.integers(1, 12),
        ),
        max_size=count,
    )

    @settings(max_examples=60, deadline=None, derandomize=True)
    @for_all(actions, st.integers(1, 3))
    def check(steps, budget):
        entries = MeasuringEntries(5, budget)
        for action, number, seconds in steps:
            entries.act(action, number)
            _run(context, entries.advance(seconds))
            assert len(entries.measuring()) <= budget
            assert entries.peak <= budget

    check()


@given(
    '{entries:d} entry processes for {servers:d} servers '
    'with a budget of {budget:d}',
)
def start_fleet(context, entries, servers, budget):
    city = City(
        name='small',
        services=(Service('card', servers),),
        slots=4,
        data_centers=1,
        data_center_delay_seconds=0,
        client_delay_seconds=0,
        entries=entries,
    )
    plan = Plan(
        name='budget',
        city=city,
        workloads=city_workloads(city),
        policies=('hot-cold',),
        loads=((0, 1),),
        seed=1,
        slice_seconds=1,
        measuring_budget=budget,
        measuring_lease_seconds=_LEASE_SECONDS,
    )
    folder = tempfile.TemporaryDirectory()
    context.fleet = ChoosingFleet(plan, Path(folder.name))
    context.budget = budget

    async def close():
        await context.fleet.stop()
        folder.cleanup()

    context.closers.append(close)
    _run(context, context.fleet.start())


async def _measured(fleet):
    counts = await fleet.read_counts()
    return counts['card'].measuring_total


@when('every server was measured {times:d} times more')
def wait_until_measured(context, times):
    async def wait():
        before = await _measured(context.fleet)
        after = before
        while any(after[name] < before[name] + times for name in before):
            await asyncio.sleep(0.1)
            after = await _measured(context.fleet)

    _run(context, asyncio.wait_for(wait(), 60))


@when('entry process {number:d} is paused beyond its lease and resumed')
def pause_process(context, number):
    async def pause():
        name = f'entry-{number}'
        context.fleet.process_group.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(_LEASE_SECONDS * 3)
        context.fleet.process_group.send_signal(name, signal.SIGCONT)

    _run(context, pause())


@when('entry process {number:d} is killed and restarted')
def kill_process(context, number):
    async def kill():
        name = f'entry-{number}'
        context.fleet.process_group.send_signal(name, signal.SIGKILL)
        await context.fleet.process_group.wait(name, 10)
        await context.fleet.start_entry(number)

    _run(context, kill())


@when('the store is out for longer than a lease')
def put_store_process_out(context):
    async def put_out():
        url = f'http://127.0.0.1:{context.fleet.store_port}/control/faults'
        async with aiohttp.ClientSession() as session:
            for is_out in (True, False):
                async with session.put(url, json={'is_out': is_out}) as reply:
                    reply.raise_for_status()
                await asyncio.sleep(_LEASE_SECONDS * 2)

    _run(context, put_out())


@when('entry process {number:d} is asked to stop')
def stop_process(context, number):
    _run(context, context.fleet.process_group.terminate(f'entry-{number}'))


@then('no server was measured more than {count:d} times in any second')
def check_peak(context, count):
    counts = _run(context, context.fleet.read_counts())
    peaks = counts['card'].measuring_peak
    assert all(0 < peak <= count for peak in peaks.values()), peaks
