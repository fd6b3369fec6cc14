"""Steps for the tenants of the operators' document."""

import json
from types import MappingProxyType

from behave import then, when

from features.support.gateway import build_config
from features.support.tenants import (
    KEY,
    OTHER_KEY,
    SECRET_TEXT,
    THIRD_KEY,
    build_tenant_config,
    default_tenants,
    tenant_row,
)
from zinniaturn.fleet.domain import TablesDocument
from zinniaturn.fleet.exceptions import BadDocumentError
from zinniaturn.platform.documents import decode_document
from zinniaturn.tenants import Tenant

_FAULTY_ROWS = MappingProxyType(
    {
        'a key of another': tenant_row('coal', (KEY,)),
        'one name twice': tenant_row('gold', (THIRD_KEY,)),
        'a name that ends a line': tenant_row(
            'coal\r\nX-Forged: 1', (THIRD_KEY,)
        ),
        'a key that ends a line': tenant_row('coal', (f'{THIRD_KEY}\n',)),
        'an empty key': tenant_row('coal', ('',)),
        'a key that is a number': tenant_row('coal', (5,)),
        'a row that is too long': [
            *tenant_row('coal', (THIRD_KEY,)),
            THIRD_KEY,
        ],
        'keys that are one text': ['coal', THIRD_KEY, None, None, None],
        'a negative rate': tenant_row('coal', (THIRD_KEY,), None, -1),
    }
)


def _document(config):
    return TablesDocument(7, json.dumps(config).encode())


@when('a document with tenants is read')
def read_tenants(context):
    context.tables = decode_document(_document(build_tenant_config()))


@when('a document without tenants is read')
def read_without_tenants(context):
    context.tables = decode_document(_document(build_config()))


@when('a document is read whose tenants have {fault}')
def read_faulty_tenants(context, fault):
    rows = [default_tenants()[0], _FAULTY_ROWS[fault]]
    context.document = _document(build_tenant_config(rows))
    context.error = None
    try:
        decode_document(context.document)
    except BadDocumentError as error:
        context.error = error


@then('each key finds its tenant with the priority and allowance of its row')
def check_found(context):
    tenants = context.tables.tenants
    gold = Tenant('gold', 0, 40, 10)
    assert tenants.find(KEY.encode()) == gold
    assert tenants.find(OTHER_KEY.encode()) == gold
    assert tenants.find(THIRD_KEY.encode()) == Tenant('coal')


@then('a key of no tenant, a part of a key and an empty key find none')
def check_not_found(context):
    for key in ('other', KEY[:-1], f'{KEY},{OTHER_KEY}', 'gold', ''):
        assert context.tables.tenants.find(key.encode()) is None, key


@then('the public route is the one that the document says')
def check_public(context):
    public = [
        route.name for route in context.tables.routes.values() if route.public
    ]
    assert public == ['open'], public


@then('it has no table of tenants and no public route')
def check_no_tenants(context):
    assert context.tables.tenants is None
    assert not any(route.public for route in context.tables.routes.values())


@then(
    "it is refused, and neither the error nor the document's text shows a key"
)
def check_refused(context):
    assert context.error is not None
    shown = f'{context.error} {context.error!r} {context.document!r}'
    assert SECRET_TEXT not in shown, shown
