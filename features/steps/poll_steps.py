"""Steps of the schedule by which VMs poll the store."""

from behave import given, then, when

from features.support.gateway import seeded_random
from features.support.poll_play import PollPlay
from zinniaturn.fleet.poll_schedule import PollSchedule


@given(
    '{count:d} VMs that know each other and hold a state of 0 s, with a bound '
    'of {bound:g} s'
)
def build_play(context, count, bound):
    context.play = PollPlay(count, bound)


@when('the store gives no reply for {seconds:g} s')
def run_outage(context, seconds):
    context.play.refused = frozenset(range(len(context.play.schedules)))
    context.play.run(seconds)


@when('the store refuses the first VM for {seconds:g} s')
def refuse_first(context, seconds):
    context.play.refused = frozenset((0,))
    context.play.run(seconds)


@when('it replies again')
def end_outage(context):
    context.play.refused = frozenset()


@when('the first {count:d} VMs die')
def kill_first(context, count):
    del context.play.alive[:count]


@then('it got at most {most:d} calls')
def check_calls(context, most):
    assert 0 < len(context.play.calls) <= most, len(context.play.calls)


@then('a VM reads it within {seconds:g} s')
def check_read(context, seconds):
    before = context.play.confirmed_at
    context.play.run(seconds)
    assert context.play.confirmed_at > before


@then('that VM has called the store at most {most:d} times')
def check_calls_of_first(context, most):
    own = [at for vm, at in context.play.calls if vm == 0]
    assert 0 < len(own) <= most, own


@then('the state was never older than {seconds:g} s')
def check_age(context, seconds):
    assert context.play.oldest_age <= seconds, context.play.oldest_age


@given('a VM whose last {count:d} reads failed')
def failed_often(context, count):
    context.schedule = PollSchedule(seeded_random(), failures=count)


@then('it reads again after at most {seconds:g} s')
def check_backoff(context, seconds):
    assert context.schedule.backoff(rank=20) <= seconds
    assert context.schedule.backoff(rank=0) <= seconds
