"""Steps for the decision log."""

import logging

from behave import given, then, when

from zinniaturn.events import LogEvent
from zinniaturn.explain import DecisionLog
from zinniaturn.explain.decisions import ServerChosen, ServerEjected
from zinniaturn.explain.events import EventRecorder
from zinniaturn.explain.queries import Subject, SubjectKind, select_decisions


@given(
    'a decision log for {requests:d} decisions on requests and '
    '{others:d} others',
)
def make_log(context, requests, others):
    ticks = iter(range(10_000))
    context.log = DecisionLog(requests, others, lambda: next(ticks))


@when('server "{name}" is ejected')
def eject(context, name):
    context.log.record(ServerEjected('card', name, 2, '5 failures'))


@when('{count:d} requests are sent to server "{name}"')
def send(context, count, name):
    for number in range(count):
        context.log.record(
            ServerChosen(f'r{number}', 'card', name, 1, 1, 'random'),
        )


@then('the log holds {count:d} decisions')
def check_count(context, count):
    assert len(list(context.log.decisions())) == count


@then('its first decision is on server "{name}"')
def check_first(context, name):
    assert next(context.log.decisions()).server == name


@when('entry "{name}" logs that the store does not respond')
def log_outage(context, name):
    context.counted = []
    handler = EventRecorder(name, context.log, context.counted.append)
    number = int(LogEvent.STORE_UNAVAILABLE)
    record = logging.makeLogRecord({'msg': 'the store', 'event': number})
    handler.handle(record)


@then('the log has {count:d} decisions on entry "{name}"')
def check_entry(context, count, name):
    subject = Subject(SubjectKind.ENTRY, name)
    assert len(select_decisions(context.log, subject)) == count


@then('event {number:d} was counted once')
def check_counted(context, number):
    assert context.counted == [number]
