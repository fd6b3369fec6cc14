"""Steps for the counts of requests that leave their data centre."""

from behave import given, then, when

from zinniaturn.locality.departures import Departures, LeaveReason

_NOW = 100.0


@given(
    '{count:d} requests of which each was served in another of {places:d} data '
    'centres'
)
def many_places(context, count, places):
    context.departures = Departures()
    for number in range(count):
        context.departures.note_departure(
            'pool', f'dc-{number % places}', LeaveReason.NO_ROOM, 10
        )


@then(
    'at most {most:d} data centres are counted, and {count:d} requests in all'
)
def check_bounded(context, most, count):
    requests = context.departures.requests
    assert len(requests) <= most
    assert requests.total() == count


@given(
    'a pool whose share that leaves changes between {least:d} and {most:d} '
    'every half second'
)
def changing_share(context, least, most):
    context.departures = Departures()


@when('it is checked every half second for {seconds:d} s')
def check_often(context, seconds):
    context.changes = []
    for step in range(seconds * 2):
        for _ in range(50):
            if step % 2:
                context.departures.note_stay('pool')
            else:
                context.departures.note_departure(
                    'pool', 'dc-b', LeaveReason.QUEUED, 10
                )
        now = _NOW + step / 2
        context.changes.extend(context.departures.take_changes(now))


@then('at most {most:d} changes are logged')
def check_few_changes(context, most):
    assert 0 < len(context.changes) <= most, context.changes


@then('the first one is of all requests and says why')
def check_first(context):
    first = context.changes[0]
    assert (first.share, first.before, first.reason) == (1, 0, 'queued'), first
