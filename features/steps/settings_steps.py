"""Steps for settings and for usage errors of the command line."""

import json
import socket

from behave import given, then, when

from features.support.command_line import run_command
from zinniaturn.settings import EntrySettings, SettingsError, check_settings
from zinniaturn.settings.checking import allowed_text, flag_of, variable_of

GOOD = (('name', 'entry-0'), ('store_url', 'http://127.0.0.1:9'))


def run(context, *arguments):
    variables = {}
    if context.table:
        variables = {row['name']: row['value'] for row in context.table}
    context.finished = context.loop.run_until_complete(
        run_command(*arguments, variables=variables),
    )


@given('a port that is in use')
def take_port(context):
    context.socket = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(context.socket.close)


@when('"{line}" is run')
@when('"{line}" is run with the variables')
def run_line(context, line):
    run(context, *line.split())


@when('an entry is run on this port')
@when('an entry is run on this port with the variables')
def run_entry(context):
    port = str(context.socket.getsockname()[1])
    arguments = ('--name', 'entry-0', '--store-url', 'http://127.0.0.1:9')
    run(context, 'entry', *arguments, '--port', port, '--admin-port', '0')


@when('{shell:w} requests completions for "{line}"')
def ask_completion(context, shell, line):
    variables = {
        '_ZINNIATURN_COMPLETE': f'{shell}_complete',
        'COMP_WORDS': f'{line} ',
        'COMP_CWORD': '' if shell == 'fish' else str(len(line.split())),
    }
    context.finished = context.loop.run_until_complete(
        run_command(variables=variables),
    )


@then('it ends with status {status:d}')
def check_status(context, status):
    assert context.finished.status == status, context.finished
    assert 'Traceback' not in context.finished.errors, context.finished


@then('its error has "{text}"')
def check_error(context, text):
    assert text in context.finished.errors, context.finished


@then('its error does not have "{text}"')
def check_no_error(context, text):
    assert text not in context.finished.errors, context.finished


@then('its output has "{text}"')
def check_output(context, text):
    assert text in context.finished.output, context.finished


@then('its error names the settings')
def check_named(context):
    lines = context.finished.errors.splitlines()
    assert len(lines) == len(context.table.rows), lines
    for row in context.table:
        place = f'{row["flag"]} ({row["variable"]}): '
        matches = [line for line in lines if place in line]
        assert len(matches) == 1, (place, lines)
        expected = f'{row["value"]!r} is not' if row['value'] else 'is required'
        assert expected in matches[0], matches
        assert f'allowed is {row["allowed"]}' in matches[0], matches


@then('the setting "{field}" rejects "{value}"')
def check_refused(context, field, value):
    try:
        check_settings(EntrySettings, {**dict(GOOD), field: value})
    except SettingsError as error:
        message = error.message
    else:
        raise AssertionError(f'{field} takes {value}')
    assert message.startswith(f'{flag_of(field)} ({variable_of(field)}): ')
    assert repr(value) in message, message
    assert allowed_text(EntrySettings, field) in message, message


@then('its error has the log event {number:d} with "{key}" "{value}"')
def check_event(context, number, key, value):
    events = [
        json.loads(line)
        for line in context.finished.errors.splitlines()
        if line.startswith('{')
    ]
    matches = [event for event in events if event['event'] == number]
    assert [event[key] for event in matches] == [value], events


@then('its output describes every setting')
def check_help(context):
    help_text = ' '.join(context.finished.output.split())
    for name, field in EntrySettings.model_fields.items():
        assert field.description, name
        assert field.description in help_text, name
        assert f'{flag_of(name)} ' in help_text, name
        assert variable_of(name) in help_text, name
        assert f'Allowed: {allowed_text(EntrySettings, name)}.' in help_text, (
            name
        )
