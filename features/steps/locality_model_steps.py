"""Steps for the model of servers in several data centres."""

from statistics import fmean, pstdev

from behave import given, then, when

from features.support.gateway import seeded_random
from zinniaturn.experiments.locality.model_server import ServerTraits
from zinniaturn.experiments.locality.play import STEPS_PER_SECOND, Play
from zinniaturn.experiments.locality.swings import deepest_swing
from zinniaturn.locality.activation import LocalityMode

# The news is as old as two steps. Over 170 steps an autocorrelation of chance
# has an error of 0.08.
_DELAY_STEPS = 2
_DEEPEST_BY_CHANCE = -0.25


@given('32, 42 and 32 servers of 3 slots at {load:g} of what they can serve')
def uneven(context, load):
    context.load = load
    context.traits = {}


@given('load reports that are {milliseconds:d} ms old')
def late_news(context, milliseconds):
    traits = ServerTraits(delay_seconds=milliseconds / 1000)
    context.traits = dict.fromkeys('abc', traits)


def _play(context, is_enabled, seconds):
    mode = LocalityMode.ON if is_enabled else LocalityMode.OFF
    return Play(
        {'a': 32, 'b': 42, 'c': 32},
        context.load,
        seconds=seconds,
        traits=context.traits,
        settings={'locality_mode': mode},
    ).run()


@when('the same load is played with and without the decision')
def play_both(context):
    context.with_it = _play(context, is_enabled=True, seconds=2)
    context.without = _play(context, is_enabled=False, seconds=2)


@then('a share of at most {most:g} of the bytes leaves with it')
def check_leaving(context, most):
    assert context.with_it.bytes_share <= most, context.with_it.summary()
    assert context.without.bytes_share > context.with_it.bytes_share


@then('callers are served no worse')
def check_served(context):
    # The margins are what other seeds of the same load differ by.
    assert context.with_it.mean_ms <= context.without.mean_ms * 1.02
    assert context.with_it.p99_ms <= context.without.p99_ms * 1.1
    assert context.with_it.refused_share <= context.without.refused_share


@when('it is played for {steps:d} steps of 10 ms')
def play_long(context, steps):
    context.played = _play(context, is_enabled=True, seconds=steps / 100)


@then(
    'the share of requests that leaves in half a second varies by at most '
    '{most:g}'
)
def check_steps(context, most):
    # Swings between all and nothing would vary by 0.5, chance does by 0.05.
    shares = {}
    for (data_center, step), left in context.played.steps.items():
        half_second = step * 2 // STEPS_PER_SECOND
        by_time = shares.setdefault(data_center, {})
        by_time.setdefault(half_second, []).extend(left)
    for by_time in shares.values():
        # The first second and a half is the start of the model.
        settled = [fmean(by_time[moment]) for moment in sorted(by_time)[3:-1]]
        assert pstdev(settled) <= most, settled


@then('it varies by chance and does not swing with the delay of the news')
def check_no_swing(context):
    by_center = {}
    for (data_center, _), left in sorted(context.played.steps.items()):
        by_center.setdefault(data_center, []).append(fmean(left))
    for series in by_center.values():
        settled = series[STEPS_PER_SECOND * 3 // 2 :]
        deepest = deepest_swing(settled, _DELAY_STEPS)
        assert deepest > _DEEPEST_BY_CHANCE, deepest


@given('a share that follows {kind} for 200 steps')
def build_series(context, kind):
    random_source = seeded_random()
    context.series = []
    load = 1.0
    for step in range(200):
        noise = random_source.gauss(0, 0.1)
        if kind == 'the load of two steps ago':
            late = context.loads[-_DELAY_STEPS] if step > 1 else load
            share = float(late > 1)
        else:
            share = max(0, load - 0.5)
        context.loads = [*getattr(context, 'loads', []), load]
        pull = 0.5 - share if kind.startswith('the load') else 1 - load
        load += pull * 0.25 + noise
        context.series.append(share)


@then('it {verb} count as a swing')
def check_swing(context, verb):
    deepest = deepest_swing(context.series, _DELAY_STEPS)
    assert (deepest < _DEEPEST_BY_CHANCE) == (verb == 'does'), deepest
