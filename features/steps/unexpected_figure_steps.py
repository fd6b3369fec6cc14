"""Steps of figures and exceptions that nobody expected."""

from behave import given, then, when

from features.support.gateway import build_request_bytes, send_request
from zinniaturn.events.catalogue import LogEvent


def _rows_of(context, event):
    rows = context.gateway.event_log.rows
    return [row for row in rows if row['event'] == event]


class _BrokenRequestLog:
    """A log that can't describe how a request has ended."""

    def ended(self, context, outcome, status):
        raise OverflowError('a figure that no line holds')


@given('the gateway fails to describe in its log how a request has ended')
def break_log(context):
    context.gateway.dispatcher.log = _BrokenRequestLog()


@given('the gateway fails with an unexpected exception {where} a request')
def break_service(context, where):
    dispatcher = context.gateway.dispatcher

    def fail(exchange):
        raise KeyError('what nobody expected')

    async def fail_later(exchange, request_context):
        fail(exchange)

    if where == 'as it takes':
        dispatcher.find_route = fail
    else:
        dispatcher._serve = fail_later


@then('it gets {status:d} and the log reports the exception')
def check_fault(context, status):
    assert context.response[0] == status, context.response
    assert _rows_of(context, LogEvent.GATEWAY_FAULT)


@when('a caller reads with the timeout "{text}"')
def read_with_timeout(context, text):
    payload = build_request_bytes(wait_ms=text)
    context.response = context.loop.run_until_complete(
        send_request(context.front, payload)
    )
    assert context.response[0] == 200, context.response


@then('none of them counted as tried before for over {seconds:g} s')
def check_elapsed(context, seconds):
    for row in _rows_of(context, LogEvent.REQUEST_ENDED):
        assert row['elapsed_ms'] <= seconds * 1000, row
