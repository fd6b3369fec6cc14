"""Steps of the two tables and the commands that edit them."""

import json
import re
import tempfile
from pathlib import Path

from behave import given, then, when
from hypothesis import example, seed, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from features.support.command_line import run_command
from zinniaturn.standins import StoreStandIn
from zinniaturn.tables import InvalidTableError, parse_pools, parse_routes
from zinniaturn.tables.models import PoolModel, RouteModel, ServerModel

DOCS = Path('docs')
MAX_EXAMPLES = 300
MODELS = (
    ('Route', RouteModel),
    ('Pool', PoolModel),
    ('Server', ServerModel),
)
YAML_FRAGMENTS = (
    'pools:',
    'name: a',
    'servers:',
    '- ',
    '  ',
    '\n',
    '{',
    '}',
    '[',
    ']',
    ': ',
    'host: 10.0.0.1',
    'port: 1',
    'slots: 0x1F',
    '&a',
    '*a',
    '!!int',
    '"',
    '2026-13-45',
    '\t',
    '\x85',
    '#',
    '? ',
    '|',
    '%YAML 1.1',
    '---',
)


def unescape(text):
    return text.encode('latin-1').decode('unicode_escape')


@given('a store and the files')
def start_store(context):
    async def start():
        context.store = StoreStandIn()
        await context.store.start()
        context.closers.append(context.store.stop)

    context.loop.run_until_complete(start())
    folder = tempfile.TemporaryDirectory()
    context.folder = Path(folder.name)
    context.add_cleanup(folder.cleanup)
    for row in context.table:
        content = unescape(row['text']).encode('latin-1')
        (context.folder / row['name']).write_bytes(content)


@given('the store has stopped')
def stop_store(context):
    context.url = context.store.url
    context.loop.run_until_complete(context.store.stop())
    context.closers.clear()


def run_command_line(context, line, text=''):
    url = getattr(context, 'url', None) or context.store.url
    arguments = [
        str(context.folder / argument)
        if argument == '.' or argument.endswith('.yaml')
        else argument
        for argument in line.split()
    ]
    context.result = context.loop.run_until_complete(
        run_command(
            *arguments,
            standard_input=text,
            variables={'ZINNIATURN_STORE_URL': url},
        ),
    )


@when('the operator runs "{line}"')
def run_line(context, line):
    run_command_line(context, line)


@when('the output of "{first}" is applied with "{second}"')
def run_piped(context, first, second):
    run_command_line(context, first)
    run_command_line(context, second, context.result.output)


@then('the status is {status:d} and the output has "{first}" and "{second}"')
def check_output(context, status, first, second):
    result = context.result
    assert result.status == status, result
    assert first in result.output, result
    assert second in result.output, result


@then('the status is {status:d} and the errors have "{first}" and "{second}"')
def check_errors(context, status, first, second):
    result = context.result
    assert result.status == status, result
    assert 'Traceback' not in result.errors, result
    assert first in result.errors, result
    assert second in result.errors, result


@then(
    'the status is {status:d} and the JSON has "{key}" "{value}" '
    'and "{other}" "{second}"',
)
def check_json(context, status, key, value, other, second):
    result = context.result
    assert result.status == status, result
    document = json.loads(result.output)
    assert str(document[key]) == value, document
    assert str(document[other]) == second, document


@then('the status is {status:d} and the JSON\'s error has the code "{code}"')
def check_json_error(context, status, code):
    result = context.result
    assert result.status == status, result
    assert json.loads(result.output)['error']['code'] == code, result


@then('the status is {status:d} and the JSON\'s problems are "{problems}"')
def check_json_problems(context, status, problems):
    result = context.result
    assert result.status == status, result
    found = [
        f'{problem["line"]} {problem["field"]}'
        for problem in json.loads(result.output)['error']['problems']
    ]
    assert ', '.join(found) == problems, found


def parse_error(text, parse=parse_pools):
    try:
        parse(text, 'file')
    except InvalidTableError as error:
        return error
    return None


@when('a pool file with these lines is parsed')
def parse_lines(context):
    context.error = parse_error(unescape(context.text))


@when('a pool file of {count:d} empty rows is parsed')
def parse_empty_rows(context, count):
    rows = '- {}\n' * count
    context.error = parse_error(f'pools:\n{rows}')


@then('its problems are "{problems}"')
def check_problems(context, problems):
    expected = problems.split('; ')
    found = [
        f'{problem.line} {problem.field} {problem.text}'
        for problem in context.error.problems
    ]
    assert len(found) == len(expected), found
    for found_text, expected_text in zip(found, expected, strict=True):
        assert found_text.startswith(expected_text), found


@then('it has {count:d} problems, of which {shown:d} are shown')
def check_count(context, count, shown):
    assert len(context.error.problems) == count
    lines = str(context.error).splitlines()
    assert len(lines) == shown + 2, lines
    assert lines[-1].strip() == f'and {count - shown} more'


@then('every generated text gives rows or problems with a line')
def check_any_text(context):
    texts = st.lists(st.sampled_from(YAML_FRAGMENTS)).map(''.join) | st.text()

    @seed(1)
    @settings(max_examples=MAX_EXAMPLES, database=None, deadline=None)
    @for_all(texts)
    @example('pools: []')
    def check(text):
        error = parse_error(text)
        if error is not None:
            assert error.problems
            assert all(problem.line > 0 for problem in error.problems)

    check()


@then('the committed schema of {table} is the output of "{line}"')
def check_schema(context, table, line):
    result = context.loop.run_until_complete(run_command(*line.split()))
    committed = DOCS / 'schema' / f'{table}.schema.json'
    assert committed.read_text('utf-8') == result.output


def documented_fields(page):
    sections = re.split('^## ', page, flags=re.MULTILINE)
    return {
        section.split('\n', 1)[0]: set(
            re.findall(r'^\| `(\w+)` \|', section, re.MULTILINE),
        )
        for section in sections
    }


@then('the page TABLES.md lists each field of the models and no other')
def check_fields(context):
    documented = documented_fields((DOCS / 'TABLES.md').read_text('utf-8'))
    for table_name, model in MODELS:
        assert documented[table_name] == set(model.model_fields), documented[
            table_name
        ]


@then('each example on the page TABLES.md can be parsed')
def check_examples(context):
    page = (DOCS / 'TABLES.md').read_text('utf-8')
    examples = re.findall('```yaml\n(.*?)```', page, re.DOTALL)
    assert len(examples) >= len(MODELS) - 1
    for text in examples:
        parse = parse_pools if text.startswith('pools') else parse_routes
        assert parse(text, 'TABLES.md')
