"""
Results of a server choice experiment: latencies by policy and counts.

References
----------
.. [1] G. Tene, "HdrHistogram: a high dynamic range histogram",
   hdrhistogram.org.

"""

__all__ = (
    'Moment',
    'PolicyFigures',
    'Results',
    'build_histogram',
    'compare_with_baselines',
    'read_results',
    'summarize',
)

from collections import defaultdict
from collections.abc import Iterable, Mapping
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from zinniaturn.experiments.choosing.load_order import LoadRow
from zinniaturn.experiments.choosing.plan import ORACLE_POLICY, Plan, Slice
from zinniaturn.experiments.exceptions import ExperimentError
from zinniaturn.standins.backend_group import GroupCounts

_MICROSECONDS_PER_SECOND = 1_000_000
_MICROSECONDS_PER_MILLISECOND = 1000
_MAX_LATENCY_MICROSECONDS = 600_000_000
_SIGNIFICANT_DIGITS = 3
_MIN_ERROR_STATUS = 500
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Moment(msgspec.Struct, array_like=True):
    """
    Figures for one second of the slice, over all rounds.

    ``due`` and ``p99_ms`` are about the requests scheduled in that second,
    ``answered`` counts the successful responses received in it.
    """

    second: int
    due: int
    p99_ms: float
    answered: int


class PolicyFigures(msgspec.Struct):
    """
    Figures of one policy for one service; latencies are in milliseconds.

    ``refusals_repeated`` counts retries, ``unanswered`` requests without a
    successful response. ``goodput`` is successful requests per second.
    ``histogram`` is in HdrHistogram's encoding.
    """

    policy: str
    service: str
    requests: int
    answered: int
    refusals_repeated: int
    unanswered: int
    goodput: float
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    rounds_p99_ms: list[float]
    histogram: str
    timeline: list[Moment]


class Results(msgspec.Struct):
    """
    Results of one run, as stored in the results file.

    ``doubled`` counts non-idempotent requests that ran more than once, ``lost``
    requests whose last attempt got no response. ``told_not_run_but_ran`` counts
    requests that ran though every response said they had not.
    ``probe_peak_over_budget`` is the highest number of measuring requests that
    a server got in one second, over the budget (or as it is without a budget).
    ``late_p99_ms`` is the delay with which the load generators sent requests.
    """

    experiment: str
    city: str
    load: float
    seed: int
    main_service: str
    figures: list[PolicyFigures]
    doubled: int
    lost: int
    told_not_run_but_ran: int
    probe_peak_over_budget: float
    measuring_total: int
    late_p99_ms: float
    servers_requests: dict[str, dict[str, int]]


def summarize(
    plan: Plan,
    load: float,
    slices: list[Slice],
    rows: list[LoadRow],
    counts: Mapping[str, GroupCounts],
) -> Results:
    """Compute the results of a run from its rows and the servers' counters."""
    rows_by_policy = _group_rows(plan, slices, rows)
    figures = [
        _build_figures(plan, slices, policy, service, policy_rows)
        for (policy, service), policy_rows in sorted(rows_by_policy.items())
    ]
    executions = {
        request_id: times
        for count in counts.values()
        for request_id, times in count.executions.items()
    }
    peak = max(
        peak
        for count in counts.values()
        for peak in count.measuring_peak.values()
    )
    budget = plan.measuring_budget if plan.budget_policies else 0
    return Results(
        experiment=plan.name,
        city=plan.city.name,
        load=load,
        seed=plan.seed,
        main_service=plan.main_workload.service,
        figures=figures,
        doubled=_count_repeated_posts(executions),
        lost=sum(row.told == 'nothing' for row in rows),
        told_not_run_but_ran=sum(
            row.always_not_run and row.request_id in executions for row in rows
        ),
        probe_peak_over_budget=peak / budget if budget else float(peak),
        measuring_total=sum(
            sum(count.measuring_total.values()) for count in counts.values()
        ),
        late_p99_ms=_p99_milliseconds(row.late_seconds for row in rows),
        servers_requests={
            service: count.requests for service, count in counts.items()
        },
    )


def read_results(path: Path) -> Results:
    """Read a results file; raises `ExperimentError`."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Results)
    except (OSError, msgspec.MsgspecError) as error:
        raise ExperimentError(f'{path}: {error}') from error


def compare_with_baselines(results: Results, chosen: str) -> dict[str, object]:
    """Return a summary with the chosen policy's p99 over that of the others."""
    p99 = {
        figures.policy: figures.p99_ms
        for figures in results.figures
        if figures.service == results.main_service
    }
    baselines = {
        policy: latency
        for policy, latency in p99.items()
        if policy not in {chosen, ORACLE_POLICY}
    }
    best = min(baselines, key=lambda policy: baselines[policy], default='')
    return {
        'p99_ms': p99,
        'chosen': chosen,
        'best_baseline': best,
        'p99_over_best_baseline': _p99_ratio(p99, chosen, best),
        'p99_over_oracle': _p99_ratio(p99, chosen, ORACLE_POLICY),
        'probe_peak_over_budget': results.probe_peak_over_budget,
        'lost': results.lost,
        'doubled': results.doubled,
    }


def _group_rows(
    plan: Plan,
    slices: list[Slice],
    rows: list[LoadRow],
) -> dict[tuple[str, str], list[LoadRow]]:
    rows_by_policy: dict[tuple[str, str], list[LoadRow]] = defaultdict(list)
    for row in rows:
        if row.due_seconds >= plan.warmup_seconds:
            policy = slices[row.slice_number].policy
            rows_by_policy[policy, row.service].append(row)
    return rows_by_policy


def _latencies_by_round(
    slices: list[Slice],
    policy_rows: list[LoadRow],
) -> list[list[float]]:
    by_round: dict[int, list[float]] = defaultdict(list)
    for row in policy_rows:
        number = slices[row.slice_number].round_number
        by_round[number].append(row.latency_seconds)
    return [by_round[number] for number in sorted(by_round)]


def _build_figures(
    plan: Plan,
    slices: list[Slice],
    policy: str,
    service: str,
    policy_rows: list[LoadRow],
) -> PolicyFigures:
    histogram = build_histogram(row.latency_seconds for row in policy_rows)
    answered = [row for row in policy_rows if _is_answered(row)]
    seconds = plan.rounds * (plan.slice_seconds - plan.warmup_seconds)
    p50, p90, p99, p999 = (
        histogram.get_value_at_percentile(percentile)
        / _MICROSECONDS_PER_MILLISECOND
        for percentile in _PERCENTILES
    )
    return PolicyFigures(
        policy=policy,
        service=service,
        requests=len(policy_rows),
        answered=len(answered),
        refusals_repeated=sum(row.tries - 1 for row in policy_rows),
        unanswered=len(policy_rows) - len(answered),
        goodput=len(answered) / seconds,
        p50_ms=p50,
        p90_ms=p90,
        p99_ms=p99,
        p999_ms=p999,
        rounds_p99_ms=[
            _p99_milliseconds(latencies)
            for latencies in _latencies_by_round(slices, policy_rows)
        ],
        histogram=histogram.encode().decode(),
        timeline=_timeline(policy_rows),
    )


def _timeline(policy_rows: list[LoadRow]) -> list[Moment]:
    latencies_by_second: dict[int, list[float]] = defaultdict(list)
    answered: dict[int, int] = defaultdict(int)
    for row in policy_rows:
        latencies_by_second[int(row.due_seconds)].append(row.latency_seconds)
        answered[int(row.due_seconds + row.latency_seconds)] += _is_answered(
            row,
        )
    return [
        Moment(
            second,
            len(latencies),
            _p99_milliseconds(latencies),
            answered[second],
        )
        for second, latencies in sorted(latencies_by_second.items())
    ]


def _is_answered(row: LoadRow) -> bool:
    return row.told == 'answered' and row.status < _MIN_ERROR_STATUS


def build_histogram(latencies: Iterable[float]) -> HdrHistogram:
    """Return a histogram of latencies in microseconds [1]_."""
    histogram = HdrHistogram(1, _MAX_LATENCY_MICROSECONDS, _SIGNIFICANT_DIGITS)
    for seconds in latencies:
        histogram.record_value(max(1, int(seconds * _MICROSECONDS_PER_SECOND)))
    return histogram


def _p99_milliseconds(latencies: Iterable[float]) -> float:
    histogram = build_histogram(latencies)
    return (
        histogram.get_value_at_percentile(_PERCENTILES[2])
        / _MICROSECONDS_PER_MILLISECOND
    )


def _p99_ratio(
    p99: Mapping[str, float], chosen: str, other: str
) -> float | None:
    if chosen not in p99 or not p99.get(other):
        return None
    return round(p99[chosen] / p99[other], 3)


def _count_repeated_posts(executions: Mapping[str, int]) -> int:
    return sum(
        times > 1
        for request_id, times in executions.items()
        if request_id.startswith('post-')
    )
