"""Steps of what backend servers say of themselves."""

import math
import random

from behave import given, then, when

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.metrics import render_metrics
from zinniaturn.http1.messages import Response
from zinniaturn.platform.statements import decode_statement

_SUCCESS = 200
_REJECTION = 503
_RANDOM_CHARACTERS = b'0123456789.,-+eE naif\x00\xff_'
_MOST_CHARACTERS = 12


def _decode(status, *rows):
    return decode_statement(Response(status, b'', list(rows)))


@when('a response states "{name}" as "{text}"')
def state(context, name, text):
    context.statement = _decode(_SUCCESS, (name.encode(), text.encode()))


@when('a response states "{name}" as ""')
def state_nothing(context, name):
    context.statement = _decode(_SUCCESS, (name.encode(), b''))


@when('a response states "{name}" twice, as "{first}" and "{second}"')
def state_twice(context, name, first, second):
    context.statement = _decode(
        _SUCCESS,
        (name.encode(), first.encode()),
        (name.lower().encode(), second.encode()),
    )


@when('a response states "{name}" with {count:d} digits')
def state_at_length(context, name, count):
    context.statement = _decode(_SUCCESS, (name.encode(), b'1' * count))


@when('a response with status {status:d} states "{name}" as "{text}"')
def state_with_status(context, status, name, text):
    context.statement = _decode(status, (name.encode(), text.encode()))


@then('its limit is {limit} and the unreadable fields are "{names}"')
def check_limit(context, limit, names):
    expected = None if limit == 'none' else float(limit)
    assert context.statement.limit == expected, context.statement
    assert ','.join(context.statement.unreadable) == names, context.statement


@then('its limit is {limit} and the unreadable fields are ""')
def check_readable_limit(context, limit):
    check_limit(context, limit, '')


@then('it asks for a pause of {seconds:g} s')
def check_pause(context, seconds):
    assert context.statement.pause_seconds == seconds, context.statement


@when(
    '{count:d} responses with random statements are decoded, with seed {seed:d}'
)
def decode_random(context, count, seed):
    source = random.Random(seed)
    names = (b'Server-Limit', b'Server-Leaving', b'Retry-After')
    context.statements = [
        _decode(
            source.choice((_SUCCESS, _REJECTION)),
            *(
                (source.choice(names), _random_text(source))
                for _ in range(source.randrange(4))
            ),
        )
        for _ in range(count)
    ]


def _random_text(source):
    length = source.randrange(_MOST_CHARACTERS)
    return bytes(source.choices(_RANDOM_CHARACTERS, k=length))


@then('each limit and pause is a finite number that is not negative')
def check_finite(context):
    assert any(statement.limit for statement in context.statements)
    for statement in context.statements:
        figures = (statement.limit or 0, statement.pause_seconds)
        assert all(math.isfinite(one) and one >= 0 for one in figures)


def _server(context, name):
    return next(
        server for server in context.platform.servers if server.name == name
    )


@given(
    'server "{first}" names a limit of "{text}" and "{second}" says that it '
    'leaves'
)
def name_limit_and_leave(context, first, text, second):
    _server(context, first).limit = text.encode()
    _server(context, second).is_leaving = True


@given('each server names a limit of "{text}"')
def name_limits(context, text):
    for server in context.platform.servers:
        server.limit = text.encode()


def _rows(context, event):
    rows = context.gateway.event_log.rows
    return [row for row in rows if row['event'] == event]


@then('event 731 tells that "{name}" has the limit {limit:g}')
def check_limit_logged(context, name, limit):
    rows = _rows(context, LogEvent.SERVER_STATEMENT)
    told = [row for row in rows if row['server'] == name]
    assert told[0]['limit'] == limit, rows
    assert told[0]['source'] == 'vm-1', rows


@then('event 731 tells that "{name}" leaves')
def check_leaving_logged(context, name):
    rows = _rows(context, LogEvent.SERVER_STATEMENT)
    assert any(row['leaving'] for row in rows if row['server'] == name), rows


@then('the metrics count "{event}"')
def check_counted(context, event):
    body = render_metrics(context.gateway.state).decode()
    assert f'event="{event}"' in body, body


@then('event 732 was logged once and counted more often')
def check_unreadable_logged_once(context):
    rows = _rows(context, LogEvent.SERVER_STATEMENT_UNREADABLE)
    assert [row['fields'] for row in rows] == [('limit',)], rows
    counters = context.gateway.state.counters
    assert counters.events['server_statement_unreadable'] > 1


@then('each read got 200')
def check_all_answered(context):
    statuses = [status for status, _, _ in context.responses]
    assert set(statuses) == {_SUCCESS}, statuses
