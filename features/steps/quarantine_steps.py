"""Steps of the verdicts on requests that end servers."""

from types import MappingProxyType

from behave import given, then, when

from zinniaturn.clock import ManualClock
from zinniaturn.quarantine.crash_record import CrashRecord, ServerProcess
from zinniaturn.quarantine.table import Completion, QuarantineTable, Ruling

_START = 1000.0
_VMS = tuple(f'vm-{number}' for number in range(13))
_BOTH = frozenset(('vm-1', 'vm-2'))
_STEP_SECONDS = 0.05
_SETTLED_SECONDS = 0.3
_KEYS = MappingProxyType(
    {letter: number for number, letter in enumerate('abcdefgh', 1)}
)


def _build_table(clock, name='vm-0'):
    others = [vm for vm in _VMS if vm != name]
    return QuarantineTable(clock, name, lambda: others)


def _crash(context, letters, at):
    context.crashes += 1
    process = ServerProcess(f's-{context.crashes}', 1)
    keys = {_KEYS[letter] for letter in letters}
    context.quarantine.note_crash(CrashRecord(process, at, keys, set(_BOTH)))


def _set_up(context):
    context.clock = ManualClock(_START)
    context.crashes = 0
    context.quarantine = _build_table(context.clock)


def _note_last(context):
    context.last_at = max(
        record.ended_at for record in context.quarantine.records.values()
    )


def _held(context):
    letters = {number: letter for letter, number in _KEYS.items()}
    return sorted(letters[one.key] for one in context.quarantine.held())


def _expected(text):
    return [] if text == '-' else sorted(text.split())


@given('these crashes, by the requests that ran there and the time: {crashes}')
def add_crashes(context, crashes):
    _set_up(context)
    for crash in crashes.split():
        letters, _, seconds = crash.partition('@')
        context.clock.now = _START + float(seconds)
        _crash(context, letters.split(','), context.clock.now)
    context.clock.advance(_SETTLED_SECONDS)


@given('these runs that ended well: {completions}')
def add_completions(context, completions):
    for completion in _expected(completions):
        letter, _, count = completion.partition(':')
        for number in range(int(count)):
            context.quarantine.note_completion(
                Completion(_KEYS[letter], f'vm-{number}', 1)
            )


@given('only one VM has seen them')
def leave_one_witness(context):
    for record in context.quarantine.records.values():
        record.witnesses = {'vm-1'}
    _note_last(context)


@given('the second one is contradicted')
def contradict(context):
    record = list(context.quarantine.records.values())[1]
    context.quarantine.note_crash(
        CrashRecord(record.process, record.ended_at, is_refuted=True)
    )


@then('the held requests are: {held}')
def check_held(context, held):
    assert _held(context) == _expected(held), context.quarantine.standings


@then('the held requests {seconds:g} s after the last crash are: {held}')
def check_held_at(context, seconds, held):
    context.clock.now = context.last_at + seconds
    check_held(context, held)


@then('a copy that comes {seconds:g} s after the last crash has to wait')
def check_wait(context, seconds):
    _note_last(context)
    context.clock.now = context.last_at + seconds
    assert context.quarantine.ruling(_KEYS['g']) is Ruling.WAIT


@when('the hold of {seconds:d} s has ended')
def end_hold(context, seconds):
    standing = context.quarantine.held()[0]
    assert standing.held_until == standing.moments[-1] + seconds
    context.clock.now = standing.held_until - _STEP_SECONDS
    assert context.quarantine.ruling(standing.key) is Ruling.REJECT
    context.clock.now = standing.held_until


def _tables_of_all(context):
    tables = [_build_table(context.clock, vm) for vm in _VMS]
    for table in tables:
        for record in context.quarantine.records.values():
            table.note_crash(record)
    return tables


@then('in each moment at most one of 13 VMs may run the request')
def check_turns(context):
    context.turns = set()
    tables = _tables_of_all(context)
    for _ in range(round(120 / _STEP_SECONDS)):
        context.clock.advance(_STEP_SECONDS)
        allowed = [
            table.name
            for table in tables
            if table.ruling(_KEYS['g']) is not Ruling.REJECT
        ]
        assert len(allowed) <= 1, allowed
        context.turns.update(allowed)


@then('each of the 13 VMs has a turn within 2 minutes')
def check_all_turns(context):
    assert context.turns == set(_VMS)


@when('the try crashes a server')
def crash_try(context):
    _crash(context, ['g'], context.clock.now)


@then('the request is held for {seconds:d} s more')
def check_hold(context, seconds):
    standing = context.quarantine.held()[0]
    assert standing.held_until == context.clock.now + seconds


@when('{count:d} of its runs end well')
def complete(context, count):
    add_completions(context, f'g:{count}')


@then('the request may run without restriction')
def check_free(context):
    assert context.quarantine.ruling(_KEYS['g']) is Ruling.RUN


@when('an operator lifts the verdict')
def lift(context):
    assert context.quarantine.lift(_KEYS['g'], context.clock.now)


@when('two more servers end as they run it')
def crash_two(context):
    for _ in range(2):
        _crash(context, ['g'], context.clock.now)
        context.clock.advance(_SETTLED_SECONDS)


@when(
    '{servers:d} servers end, each with {requests:d} requests that no other ran'
)
def crash_many(context, servers, requests):
    add_crashes(context, 'g@0 g@0.3 g@0.5')
    assert _held(context) == ['g']
    number = 1000
    for server in range(servers):
        keys = set(range(number, number + requests))
        number += requests
        process = ServerProcess(f'other-{server}', 1)
        now = context.clock.now
        if server % 2:
            context.quarantine.note_crash(
                CrashRecord(process, now, set(), set(_BOTH))
            )
        context.quarantine.note_crash(CrashRecord(process, now, keys))
    context.latest = ServerProcess(f'other-{servers - 1}', 1)


@then(
    'at most {records:d} crashes with {requests:d} requests each are held, '
    'and the latest'
)
def check_bound(context, records, requests):
    held = context.quarantine.records
    assert len(held) <= records
    assert max(len(record.keys) for record in held.values()) <= requests
    assert context.latest in held
    named = {key for record in held.values() for key in record.keys}
    assert context.quarantine.accused.keys() == named


@then('the crashes of a held request are among them')
def check_kept(context):
    assert _held(context) == ['g']


@when('an hour passes')
def pass_hour(context):
    context.quarantine.held()
    context.clock.advance(3600)
    context.quarantine.held()


@then('nothing is known of any crash')
def check_forgotten(context):
    assert context.quarantine.is_empty
    assert not context.quarantine.standings
