"""Steps of VMs that have lost their links to the backend servers."""

from behave import given, then, when

from features.support.cut_links import cut_links
from features.support.cut_traffic import (
    NOT_RUN_STATUSES,
    CutTraffic,
    served_share,
)
from zinniaturn.standins.vm_links import CutShape

_LEAST_SHARE = 2 / 3


def _numbers(text):
    return [int(number) for number in text.split()]


def _all(context):
    return range(1, len(context.platform.gateways) + 1)


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given('each gateway has served reads and posts')
def warm_up(context):
    context.traffic = CutTraffic(context.platform)
    _run(context, context.traffic.play(_all(context), 1, 10, 4))
    assert served_share(context.traffic.tries) == 1


@when('gateways {cut} are cut off from all servers, shape "{shape}"')
def cut_off(context, cut, shape):
    context.cut = _numbers(cut)
    cut_links(context, context.cut, CutShape(shape))


@when(
    '{seconds:g} s pass in which each gateway gets {reads:d} reads and '
    '{posts:d} posts a second'
)
def pass_time(context, seconds, reads, posts):
    _run(context, context.traffic.play(_all(context), seconds, reads, posts))


@when('the first tries of the next {seconds:g} s are counted')
def count_tries(context, seconds):
    before = len(context.traffic.tries)
    _run(context, context.traffic.play(_all(context), seconds, 5, 2))
    context.counted = context.traffic.tries[before:]


@then(
    'the first tries at gateways {cut} are served two thirds as often as the '
    'others or better'
)
def check_served(context, cut):
    numbers = _numbers(cut)
    cut_off = [one for one in context.counted if one.gateway in numbers]
    others = [one for one in context.counted if one.gateway not in numbers]
    shares = served_share(cut_off), served_share(others)
    assert shares[0] >= shares[1] * _LEAST_SHARE, shares


@then('every post ran at most once, and none that was told not to have run')
def check_posts(context):
    for one in context.traffic.tries:
        if one.is_post:
            runs = context.traffic.runs(one)
            assert runs <= 1, one
            assert not (runs and one.status in NOT_RUN_STATUSES), one
