"""Steps for the audit trail and the status, with real commands."""

import asyncio
import json

from behave import then, when

from features.support.builders import build_route
from features.support.command_line import run_command
from features.support.time_limits import time_limit
from zinniaturn.configuration import apply_routes
from zinniaturn.configuration.commit import commit, read_tables
from zinniaturn.configuration.exceptions import CommitUnknownError
from zinniaturn.configuration.layout import HEAD_KEY
from zinniaturn.store import StoreUnavailableError


def _run_operator_command(context, line, *arguments):
    context.finished = context.loop.run_until_complete(
        run_command(
            *line.split(),
            *arguments,
            variables={'ZINNIATURN_STORE_URL': context.stand_in.url},
        ),
    )


@when('the operator\'s command "{line}" is run')
def run_command_line(context, line):
    _run_operator_command(context, line)


@when(
    'the operator\'s command "{line}" is run with the address of the '
    'first entry',
)
def run_command_with_entry(context, line):
    entry = context.entries['entry-0']
    _run_operator_command(
        context, line, '--entry', f'127.0.0.1:{entry.admin_port}'
    )


@when('a store outage starts during the commit of the change "{change_id}"')
def start_outage_during_commit(context, change_id):
    stand_in = context.stand_in
    original_swap = context.store.compare_and_swap

    async def swap_and_start_outage(key, expected, text, lease_id=''):
        if key != HEAD_KEY:
            return await original_swap(key, expected, text, lease_id)
        await original_swap(key, expected, text, lease_id)
        stand_in.faults.is_out = True
        raise StoreUnavailableError('the reply was lost')

    async def change():
        base = await read_tables(context.store)
        edited = apply_routes(base.tables, [build_route('second')])
        context.store.compare_and_swap = swap_and_start_outage
        try:
            await commit(context.store, base, edited, change_id=change_id)
        except CommitUnknownError as error:
            assert f'zinniaturn audit settle {change_id}' in str(error)
        else:
            raise AssertionError('the outcome was known')
        context.store.compare_and_swap = original_swap
        stand_in.faults.is_out = False

    context.loop.run_until_complete(change())


@then('it exited with {status:d} and printed "{text}"')
def check_output(context, status, text):
    finished = context.finished
    assert finished.status == status, finished
    assert text in finished.output, finished


@then('it exited with {status:d} and its error output has "{code}"')
def check_errors(context, status, code):
    finished = context.finished
    assert finished.status == status, finished
    assert code in finished.errors, finished


@then(
    'it printed a change from revision {base:d} to {revision:d} by "{author}" '
    'that adds the route "{route}"',
)
def check_change(context, base, revision, author, route):
    assert context.finished.status == 0, context.finished
    change = json.loads(context.finished.output)['changes'][0]
    assert change['base_revision'] == base, change
    assert change['revision'] == revision, change
    assert change['author'] == author, change
    assert route in json.dumps(change['changes']), change


@then('the status lists "{names}" as ready at revision {revision:d}')
def check_status(context, names, revision):
    assert context.finished.status == 0, context.finished
    entries = json.loads(context.finished.output)['entries']
    assert [entry['name'] for entry in entries] == names.split(', ')
    for entry in entries:
        assert entry['is_ready'], entry
        assert entry['revision'] == revision, entry


@then('the entries have the routes "{names}"')
def check_routes(context, names):
    async def wait():
        async with time_limit(60):
            while not all(
                sorted(entry.state.installed.tables.routes) == names.split(', ')
                for entry in context.entries.values()
            ):
                await asyncio.sleep(0.02)

    context.loop.run_until_complete(wait())
