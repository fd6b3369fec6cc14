"""Steps for the demo."""

import json

from behave import given, then

from zinniaturn.commands.demo import exit_status
from zinniaturn.demo import DemoSummary


@given('a summary with {lost:d} lost and {doubled:d} doubled requests')
def make_summary(context, lost, doubled):
    context.summary = DemoSummary(
        requests=9,
        answered=9 - lost,
        not_run=0,
        unknown=0,
        lost=lost,
        doubled=doubled,
        p50_ms=1,
        p99_ms=1,
        p999_ms=1,
        revisions={},
    )


@then("the demo's status is {status:d}")
def check_status(context, status):
    assert exit_status(context.summary) == status


@then('its last line is JSON with exactly the keys "{keys}"')
def check_keys(context, keys):
    last = context.finished.output.splitlines()[-1]
    context.document = json.loads(last)
    assert list(context.document) == keys.split(', '), context.document


@then(
    'every request was answered, and {count:d} entries have revision '
    '{revision:d} in force',
)
def check_summary(context, revision, count):
    document = context.document
    assert document['requests'] > 0, document
    assert document['answered'] == document['requests'], document
    assert (document['lost'], document['doubled']) == (0, 0), document
    in_force = list(document['revisions'].values())
    assert len(in_force) == count, document
    assert set(in_force) == {revision}, document
