"""The outcomes soak and its short form."""

__all__ = ('run_smoke', 'run_soak')

import asyncio
import random
import re
import sys
import time
from dataclasses import dataclass

import msgspec

from zinniaturn.experiments.outcomes.callers import (
    LoadGenerator,
    post_with_issued_key,
    post_with_own_key,
    post_without_key,
    read_card,
    read_extract,
    upload_slowly,
)
from zinniaturn.experiments.outcomes.faults import FaultInjector
from zinniaturn.experiments.outcomes.fleet import OutcomesFleet
from zinniaturn.experiments.outcomes.request_history import (
    RequestHistory,
    Violation,
)
from zinniaturn.experiments.registry import ExperimentOptions

_REQUEST_KINDS = (
    (post_with_issued_key, 45),
    (post_with_own_key, 15),
    (post_without_key, 15),
    (read_card, 19),
    (read_extract, 3),
    (upload_slowly, 3),
)
_WORD_START = re.compile('(?<!^)(?=[A-Z])')


@dataclass(frozen=True, slots=True)
class RunSize:
    """
    The size of a run.

    The run sends ``rate`` requests per second until all faults are over and
    ``non_idempotent`` non-idempotent requests have started.
    """

    entries: int
    callers: int
    rate: float
    non_idempotent: int
    rounds: int
    event_pause_seconds: float


_SMOKE = RunSize(4, 6, 150, 0, 1, 1.7)
_SOAK = RunSize(13, 26, 450, 100_000, 12, 2.5)


class OutcomesResult(msgspec.Struct):
    """The result of a run; ``faults`` counts the faults by kind."""

    requests: int
    non_idempotent: int
    doubled: int
    false_not_run: int
    wrong_or_short: int
    cut_by_stop: int
    unknown: int
    faults: dict[str, int]

    def has_passed(self) -> bool:
        """Return whether no guarantee was violated and every fault occurred."""
        violation_count = (
            self.doubled
            + self.false_not_run
            + self.wrong_or_short
            + self.cut_by_stop
        )
        return not violation_count and all(self.faults.values())


def run_smoke(options: ExperimentOptions) -> int:
    """Run the short form and return the exit status."""
    return _run(options, _SMOKE)


def run_soak(options: ExperimentOptions) -> int:
    """Run the soak and return the exit status."""
    return _run(options, _SOAK)


def _run(options: ExperimentOptions, size: RunSize) -> int:
    result, history = asyncio.run(_run_faults_and_load(options, size))
    text = msgspec.json.encode(result).decode()
    (options.out / 'outcomes.json').write_text(text)
    history_text = history.format_text()
    (options.out / 'history.txt').write_text(history_text)
    if not result.has_passed():
        sys.stderr.write(f'{history_text}\n')
    sys.stdout.write(f'{text}\n')
    return int(not result.has_passed())


async def _run_faults_and_load(
    options: ExperimentOptions,
    size: RunSize,
) -> tuple[OutcomesResult, RequestHistory]:
    seed = options.seed
    fleet = OutcomesFleet(size.entries, seed, options.out)
    try:
        await fleet.start()
        generator = LoadGenerator(
            fleet, size.callers, random.Random(f'{seed}/load')
        )
        injector = FaultInjector(fleet, random.Random(f'{seed}/events'))
        await _run_load(generator, injector, size)
        await generator.close()
        await injector.finish()
        fleet.history.check_final_counts()
        return _build_result(fleet, generator, injector), fleet.history
    finally:
        await fleet.stop()


async def _run_load(
    generator: LoadGenerator,
    injector: FaultInjector,
    size: RunSize,
) -> None:
    request_kinds = [kind for kind, _ in _REQUEST_KINDS]
    weights = [weight for _, weight in _REQUEST_KINDS]
    fault_task = asyncio.create_task(
        injector.run(size.event_pause_seconds, size.rounds),
    )
    next_send_at = time.monotonic()
    while (
        not fault_task.done()
        or _non_idempotent_count(generator) < size.non_idempotent
    ):
        await asyncio.sleep(max(0, next_send_at - time.monotonic()))
        generator.start_request(
            generator.random_source.choices(request_kinds, weights)[0]
        )
        next_send_at += generator.random_source.expovariate(size.rate)
    await fault_task


def _non_idempotent_count(generator: LoadGenerator) -> int:
    return len(generator.history.non_idempotent)


def _build_result(
    fleet: OutcomesFleet,
    generator: LoadGenerator,
    injector: FaultInjector,
) -> OutcomesResult:
    history = fleet.history
    return OutcomesResult(
        requests=history.requests,
        non_idempotent=len(history.non_idempotent),
        doubled=history.count(Violation.DOUBLED),
        false_not_run=history.count(Violation.FALSE_NOT_RUN),
        wrong_or_short=history.count(Violation.WRONG_OR_SHORT),
        cut_by_stop=history.count(Violation.CUT_BY_STOP),
        unknown=history.unknown,
        faults=_fault_counts(fleet, generator, injector),
    )


def _fault_counts(
    fleet: OutcomesFleet,
    generator: LoadGenerator,
    injector: FaultInjector,
) -> dict[str, int]:
    fault_kinds = {
        type(fault).__name__
        for fault in fleet.shuffled_faults.one_of_each_kind()
    }
    counts = {
        _WORD_START.sub('-', kind).lower(): sum(
            proxy.applied[kind] for proxy in fleet.proxies
        )
        for kind in sorted(fault_kinds)
    }
    counts['caller-gone'] = generator.short_timeouts
    counts['repeated-at-another-entry'] = generator.repeated_at_other_entries
    return counts | dict(injector.counts)
