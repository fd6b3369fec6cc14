"""Steps of the records that VMs write to the store."""

from behave import given, then, when

from features.support.gateway import build_record, hear
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.domain import StoredVm
from zinniaturn.fleet.pause_guard import PauseGuard
from zinniaturn.fleet.registration import VmRegistration
from zinniaturn.fleet.vms import VmTable

_NOW = 1000.0
_TICK_SECONDS = 0.1
_SETTLED_SECONDS = 5


class _RecordStore:
    """A store that keeps the writes and deletes of records."""

    def __init__(self):
        self.written = []

    async def register(self, record):
        self.written.append(('register', record.name))

    async def unregister(self, listed):
        self.written.append(('forget', listed.record.name))


def _registration(context, alive, listed):
    """Set up the registration of the VM of rank 0 among these."""
    context.clock = ManualClock(_NOW)
    context.store = _RecordStore()
    own = build_record('b')
    context.vms = VmTable(own, context.clock)
    context.alive = alive
    context.listed = [own] + [
        build_record(name, number=number)
        for number, name in enumerate(listed, start=2)
    ]
    context.guard = PauseGuard(_NOW)
    context.registration = VmRegistration(
        context.store,
        context.vms,
        lambda error: None,
        context.clock,
        context.guard,
    )


def _check_listing(context, records):
    async def check():
        for record in records:
            if record.name in context.alive:
                hear(context.vms, record)
        context.vms.update_records(records)
        context.store.written.clear()
        context.registration.reconcile(
            [StoredVm(listed, 5) for listed in records],
        )
        if context.registration.write.task is not None:
            await context.registration.write.task

    context.loop.run_until_complete(check())


@given('a VM whose record the store lacks')
def unregistered(context):
    _registration(context, (), ())


@given('a VM of rank 0 that hears "a" and lists "a" and "lost"')
def first_with_peer(context):
    _registration(context, ('a',), ('a', 'lost'))
    _check_listing(context, context.listed)


@given('a VM of rank 0 that hears no VM and lists "a" and "lost"')
def first_without_peer(context):
    _registration(context, (), ('a', 'lost'))
    _check_listing(context, context.listed)


def _run_for(context, seconds):
    """Let time pass in which the process runs."""
    for _ in range(round(seconds / _TICK_SECONDS)):
        context.clock.advance(_TICK_SECONDS)
        context.guard.tick(context.clock.monotonic())


@given('a VM that has just started and hears {heard:d} of {count:d} others')
def start_among(context, heard, count):
    _registration(context, (), ())
    context.others = [
        build_record(f'a-{number}', number=number)
        for number in range(2, count + 2)
    ]
    for record in context.others[:heard]:
        hear(context.vms, record)


@given('a VM that hears {count:d} others, of which the store lists {listed:d}')
def hear_others(context, count, listed):
    start_among(context, 0, count)
    _run_for(context, _SETTLED_SECONDS)
    context.listed = context.others[:listed]
    for record in context.others:
        hear(context.vms, record)


@when('it is paused for {seconds:g} s and reads the store')
def pause_and_read(context, seconds):
    context.clock.advance(seconds)
    _check_listing(context, context.listed)


@when(
    'it is paused for {seconds:g} s and reads the store, which lists '
    '{listed:d} others'
)
def pause_at_start(context, seconds, listed):
    context.listed = context.others[:listed]
    pause_and_read(context, seconds)


@when('{seconds:g} s pass, it hears the others and reads the store')
def hear_and_read(context, seconds):
    _run_for(context, seconds)
    for record in context.others:
        hear(context.vms, record)
    _check_listing(context, context.listed)


@when('it reads the store')
def read_empty(context):
    _check_listing(context, [])


@when('it reads the store with the record of its previous process')
def read_previous(context):
    _check_listing(context, [build_record('b')])


@when('{seconds:g} s pass and it reads the store')
def pass_and_list(context, seconds):
    _run_for(context, seconds)
    _check_listing(context, context.listed)


@then('it writes its record')
def check_registered(context):
    assert context.store.written == [('register', 'b')]


@then('it writes nothing')
def check_unwritten(context):
    assert not context.store.written


@then('it removes the record of "{name}"')
def check_forgotten(context, name):
    assert context.store.written == [('forget', name)]
