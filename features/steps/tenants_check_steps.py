"""Steps of the check of a document's tenants."""

import json
from types import MappingProxyType

from behave import then, when

from features.support.asked_gateway import run
from features.support.command_line import run_command
from features.support.gateway import build_config
from features.support.tenants import (
    THIRD_KEY,
    build_tenant_config,
    default_tenants,
    tenant_row,
)
from zinniaturn.fleet.domain import TablesDocument
from zinniaturn.platform.documents import decode_document


def _with_column(name, cell):
    config = build_tenant_config()
    config['tenants']['columns'].append(name)
    for row in config['tenants']['rows']:
        row.append(cell)
    return config


def _with_repeated_key():
    row = tenant_row('coal', (THIRD_KEY, THIRD_KEY))
    return build_tenant_config([default_tenants()[0], row])


_CONFIGS = MappingProxyType(
    {
        'the tenants gold and coal': build_tenant_config,
        'an unknown field': lambda: _with_column('quota', 5),
        'a column twice': lambda: _with_column('burst', 5),
        'a key twice in a tenant': _with_repeated_key,
        'no tenants': build_config,
    }
)


def _check(context, text, *options):
    context.checked_text = text
    context.result = run(
        context,
        run_command('tenants', 'check', '-', *options, standard_input=text),
    )


@when('the operator checks a document with {kind}')
def check_document(context, kind):
    _check(context, json.dumps(_CONFIGS[kind]()))


@when('the operator checks that document')
def check_same(context):
    _check(context, context.document.raw.decode())


@when('the operator checks a file that is "{text}"')
def check_text(context, text):
    _check(context, text)


@when("the operator checks a file that doesn't exist")
def check_missing(context):
    command = run_command('tenants', 'check', '/nowhere/tenants.json')
    context.result = run(context, command)


@when('the operator checks {count:d} tenants of one name, as JSON')
def check_many(context, count):
    rows = [tenant_row('gold', ()) for _ in range(count)]
    _check(context, json.dumps(build_tenant_config(rows)), '--json')


@then('VMs accept it')
def check_accepted(context):
    decode_document(TablesDocument(1, context.checked_text.encode()))


@then('the check says what VMs say')
def check_same_text(context):
    assert context.error.message in context.result.output, context.error


@then('{count:d} faults are counted and {told:d} told, each with its row')
def check_bounded(context, count, told):
    output = json.loads(context.result.output)
    assert (output['count'], len(output['problems'])) == (count, told)
    rows = [problem['row'] for problem in output['problems']]
    assert rows == list(range(2, told + 2)), rows
    assert not output['is_accepted'], output
