"""Steps of the key by which two copies of a request are the same."""

from dataclasses import replace
from types import MappingProxyType

from behave import then

from features.support.gateway import build_request
from zinniaturn.quarantine.request_key import (
    format_key,
    parse_key,
    request_key,
)


def _base():
    return build_request(
        b'POST',
        b'/posts/1?page=2',
        b'content',
        X_Attempt_Id=b'id-1',
        X_Request_Deadline_Ms=b'1000',
        Authorization=b'caller-1',
        Cookie=b'session=1',
        Connection=b'keep-alive',
        Content_Length=b'7',
    )


def _with_field(name, text):
    request = _base()
    fields = [row for row in request.fields if row[0] != name]
    return replace(request, fields=[*fields, (name, text)])


def _without_length():
    request = _base()
    fields = [row for row in request.fields if row[0] != b'Content-Length']
    return replace(
        request, fields=[*fields, (b'Transfer-Encoding', b'chunked')]
    )


_VARIANTS = MappingProxyType(
    {
        'id of the attempt': lambda: _with_field(b'X-Attempt-Id', b'id-2'),
        'time left': lambda: _with_field(b'X-Request-Deadline-Ms', b'900'),
        'connection field': lambda: _with_field(b'Connection', b'close'),
        'framing': _without_length,
        'order of fields': lambda: replace(
            _base(), fields=list(reversed(_base().fields))
        ),
        'method': lambda: replace(_base(), method=b'PUT'),
        'host': lambda: _with_field(b'Host', b'other.example'),
        'path': lambda: replace(_base(), target=b'/posts/2?page=2'),
        'query': lambda: replace(_base(), target=b'/posts/1?page=3'),
        "caller's credentials": lambda: _with_field(
            b'Authorization', b'caller-2'
        ),
        "caller's cookie": lambda: _with_field(b'Cookie', b'session=2'),
        'body': lambda: replace(_base(), body=b'contents'),
        'boundary of the parts': lambda: replace(
            _base(), target=b'/posts/1?page=2c', body=b'ontent'
        ),
    }
)


@then('a request and one with another {difference} have the same key')
def check_same(context, difference):
    assert request_key(_base()) == request_key(_VARIANTS[difference]())


@then('a request and one with another {difference} have different keys')
def check_different(context, difference):
    assert request_key(_base()) != request_key(_VARIANTS[difference]())


@then('the key of a request can be read from its text')
def check_text(context):
    key = request_key(_base())
    assert parse_key(format_key(key)) == key


@then('"{text}" is rejected as a key')
def check_no_key(context, text):
    try:
        key = parse_key(text)
    except ValueError:
        return
    raise AssertionError(key)
