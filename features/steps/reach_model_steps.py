"""Steps of the model of lost links in virtual time."""

from behave import then, when

from zinniaturn.experiments.reach_days import measure_means, play_day
from zinniaturn.experiments.reach_model import Means, ReachModel

_SEED = 1
_LEAST_SHARE = 0.9
_NO_TRY = -1
_KILOBYTE = 1000
_LOSS = 0.05
_CALLERS = 40
_REQUESTS_PER_SECOND = 60.0
_QUIET_SECONDS = 3


@when('a day of {size:d} VMs with seed {seed:d} is played')
def play(context, size, seed):
    context.violations = play_day(size, seed)


@when(
    'a day of {size:d} VMs with seed {seed:d} is played, without any means '
    'against lost links'
)
def play_without_means(context, size, seed):
    means = Means(passes_on=False, leaves_lookups=False)
    context.violations = play_day(size, seed, means)


@then('nothing on it is broken')
def check_kept(context):
    assert not context.violations, context.violations


@then('it is found that callers are not served while cut off')
def check_found(context):
    promises = {one.promise for one in context.violations}
    assert promises == {'served while cut off'}, context.violations


@when('{cut:d} of {size:d} VMs are cut off')
def measure(context, cut, size):
    context.shares = measure_means(size, cut, _SEED)


@then(
    'with both means 9 in 10 of the first tries there are served in each '
    'second, and with none of them 0'
)
def check_shares(context):
    both = [share for share in context.shares['both'] if share != _NO_TRY]
    assert both
    assert min(both) >= _LEAST_SHARE, context.shares
    assert max(context.shares['none']) == 0, context.shares


def _bytes_sent(model):
    return [vm.bytes_sent for vm in model.fleet.vms]


def _measure_bytes(model, seconds):
    before = _bytes_sent(model)
    model.fleet.run(seconds)
    return [
        (sent - earlier) / seconds
        for sent, earlier in zip(_bytes_sent(model), before, strict=True)
    ]


@when('a fifth of {size:d} VMs are cut off for {seconds:d} s')
def cut_fifth(context, size, seconds):
    model = ReachModel(size, _SEED, _LOSS)
    model.add_callers(_CALLERS, _REQUESTS_PER_SECOND)
    model.fleet.run(1)
    context.bytes_per_second = _measure_bytes(model, _QUIET_SECONDS)
    model.cut = {vm.name for vm in model.fleet.vms[: size // 5]}
    context.bytes_per_second.extend(_measure_bytes(model, seconds))


@then(
    'a VM sends at most {kilobytes:d} KB a second, before the cut and meanwhile'
)
def check_cost(context, kilobytes):
    most = max(context.bytes_per_second)
    assert most <= kilobytes * _KILOBYTE, most
