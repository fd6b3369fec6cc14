"""Steps for the explanations that entries give."""

import asyncio
import time

from behave import given, then, when

from zinniaturn.explain.exceptions import ExplainError
from zinniaturn.explain.queries import Subject, SubjectKind
from zinniaturn.explain.reading import fetch_explanations

_WAIT_SECONDS = 60


def _sentences(context, kind, name):
    admins = [
        f'127.0.0.1:{entry.admin_port}' for entry in context.fleet.entries
    ]
    explanations = context.loop.run_until_complete(
        fetch_explanations(admins, Subject(SubjectKind(kind), name)),
    )
    return [
        line.sentence
        for explanation in explanations
        for line in explanation.lines
    ]


def _cards(context):
    return context.fleet.backends['card']


@given('card servers that shed every request')
def shed(context):
    for backend in _cards(context):
        backend.faults.shed = True


@given('every card server fails fast')
def fail_fast(context):
    for backend in _cards(context):
        backend.faults.fail_fast = True


@given('the entries are stopped')
def stop_entries(context):
    entries = context.fleet.entries
    context.admins = [f'127.0.0.1:{entry.admin_port}' for entry in entries]

    async def stop():
        await asyncio.gather(*(entry.stop() for entry in entries))

    context.loop.run_until_complete(stop())
    entries.clear()


@when('a caller reads card 7 as request "{request_id}"')
def read_as(context, request_id):
    context.loop.run_until_complete(
        context.caller.call(
            'GET',
            '/cards/7',
            {'X-Request-Id': request_id, 'Zinniaturn-Deadline-Ms': '500'},
        ),
    )


@then('explaining {kind:w} "{name}" says "{text}"')
def check_sentence(context, kind, name, text):
    sentences = _sentences(context, kind, name)
    assert any(text in sentence for sentence in sentences), sentences


@then('explaining the card servers says that a server was ejected')
def check_ejection(context):
    sentences = [
        sentence
        for backend in _cards(context)
        for sentence in _sentences(context, 'server', backend.name)
    ]
    assert any('was ejected for' in sentence for sentence in sentences), (
        sentences[-5:]
    )


@then('explaining {kind:w} "{name}" says nothing')
def check_silence(context, kind, name):
    assert not _sentences(context, kind, name)


@then('explaining fails with code "{code}"')
def check_failure(context, code):
    subject = Subject(SubjectKind.REQUEST, 'r')
    try:
        context.loop.run_until_complete(
            fetch_explanations(context.admins, subject),
        )
    except ExplainError as error:
        assert error.code == code
    else:
        raise AssertionError('no error')


@then('eventually explaining {kind:w} "{name}" says "{text}"')
def check_sentence_soon(context, kind, name, text):
    sentences = []
    deadline = time.monotonic() + _WAIT_SECONDS
    while not any(text in sentence for sentence in sentences):
        assert time.monotonic() < deadline, sentences
        context.loop.run_until_complete(asyncio.sleep(0.1))
        sentences = _sentences(context, kind, name)
