"""The soak and its quick form."""

__all__ = ('run_smoke', 'run_soak')

import asyncio
import random
import re
import sys
import time
from dataclasses import dataclass

import msgspec

from zinniaturn.experiments.outcomes.callers import (
    CallerCrowd,
    post_with_issued_key,
    post_with_own_key,
    post_without_key,
    read_card,
    witness_extract,
    witness_upload,
)
from zinniaturn.experiments.outcomes.events import FaultEvents
from zinniaturn.experiments.outcomes.fleet import OutcomesFleet
from zinniaturn.experiments.outcomes.ledger import Ledger, Violation
from zinniaturn.experiments.registry import ExperimentOptions

_KINDS = (
    (post_with_issued_key, 45),
    (post_with_own_key, 15),
    (post_without_key, 15),
    (read_card, 19),
    (witness_extract, 3),
    (witness_upload, 3),
)
_CAPITAL = re.compile('(?<!^)(?=[A-Z])')


@dataclass(frozen=True, slots=True)
class SoakSize:
    """
    How large a run is.

    It sends ``rate`` requests a second until the events are over and
    ``non_idempotent`` requests of that kind were begun.
    """

    entries: int
    callers: int
    rate: float
    non_idempotent: int
    rounds: int
    event_pause_seconds: float


_SMOKE = SoakSize(4, 6, 150, 0, 1, 1.7)
_SOAK = SoakSize(13, 26, 450, 100_000, 12, 2.5)


class OutcomesResult(msgspec.Struct):
    """What a run found; ``faults`` counts the faults by kind."""

    requests: int
    non_idempotent: int
    doubled: int
    false_not_run: int
    wrong_or_short: int
    cut_by_stop: int
    unknown: int
    faults: dict[str, int]

    def is_good(self) -> bool:
        """Return whether no promise was broken and every fault came about."""
        broken = (
            self.doubled
            + self.false_not_run
            + self.wrong_or_short
            + self.cut_by_stop
        )
        return not broken and all(self.faults.values())


def run_smoke(options: ExperimentOptions) -> int:
    """Run the quick form and return the exit status."""
    return _run(options, _SMOKE)


def run_soak(options: ExperimentOptions) -> int:
    """Run the soak and return the exit status."""
    return _run(options, _SOAK)


def _run(options: ExperimentOptions, size: SoakSize) -> int:
    result, ledger = asyncio.run(_soak(options, size))
    text = msgspec.json.encode(result).decode()
    (options.out / 'outcomes.json').write_text(text)
    history = ledger.history()
    (options.out / 'history.txt').write_text(history)
    if not result.is_good():
        sys.stderr.write(f'{history}\n')
    sys.stdout.write(f'{text}\n')
    return int(not result.is_good())


async def _soak(
    options: ExperimentOptions,
    size: SoakSize,
) -> tuple[OutcomesResult, Ledger]:
    seed = options.seed
    fleet = OutcomesFleet(size.entries, seed, options.out)
    try:
        await fleet.start()
        crowd = CallerCrowd(fleet, size.callers, random.Random(f'{seed}/load'))
        events = FaultEvents(fleet, random.Random(f'{seed}/events'))
        await _load(crowd, events, size)
        await crowd.close()
        await events.finish()
        fleet.ledger.close()
        return _result(fleet, crowd, events), fleet.ledger
    finally:
        await fleet.stop()


async def _load(
    crowd: CallerCrowd,
    events: FaultEvents,
    size: SoakSize,
) -> None:
    kinds = [kind for kind, _ in _KINDS]
    weights = [weight for _, weight in _KINDS]
    faults = asyncio.create_task(
        events.run(size.event_pause_seconds, size.rounds),
    )
    due = time.monotonic()
    while not faults.done() or _begun(crowd) < size.non_idempotent:
        await asyncio.sleep(max(0, due - time.monotonic()))
        crowd.launch(crowd.source.choices(kinds, weights)[0])
        due += crowd.source.expovariate(size.rate)
    await faults


def _begun(crowd: CallerCrowd) -> int:
    return len(crowd.ledger.non_idempotent)


def _result(
    fleet: OutcomesFleet,
    crowd: CallerCrowd,
    events: FaultEvents,
) -> OutcomesResult:
    ledger = fleet.ledger
    return OutcomesResult(
        requests=ledger.requests,
        non_idempotent=len(ledger.non_idempotent),
        doubled=ledger.count(Violation.DOUBLED),
        false_not_run=ledger.count(Violation.FALSE_NOT_RUN),
        wrong_or_short=ledger.count(Violation.WRONG_OR_SHORT),
        cut_by_stop=ledger.count(Violation.CUT_BY_STOP),
        unknown=ledger.unknown,
        faults=_fault_counts(fleet, crowd, events),
    )


def _fault_counts(
    fleet: OutcomesFleet,
    crowd: CallerCrowd,
    events: FaultEvents,
) -> dict[str, int]:
    kinds = {type(card).__name__ for card in fleet.deck.every_kind()}
    counts = {
        _CAPITAL.sub('-', kind).lower(): sum(
            proxy.applied[kind] for proxy in fleet.proxies
        )
        for kind in sorted(kinds)
    }
    counts['caller-gone'] = crowd.hasty
    counts['repeated-at-another-entry'] = crowd.repeated_elsewhere
    return counts | dict(events.counts)
