"""The plan of faults of a soak, drawn from its seed."""

__all__ = ('Fault', 'FaultKind', 'make_plan')

import enum
import random
from collections.abc import Sequence
from dataclasses import dataclass
from types import MappingProxyType

_MIN_GAP_SECONDS = 0.1
_MAX_GAP_SECONDS = 1.2
_MIN_FAULT_SECONDS = 0.3
_MAX_FAULT_SECONDS = 4.0
_QUIET_END_SECONDS = 4.0
_FIRST_SECONDS = 1.0


class FaultKind(enum.Enum):
    """The kinds of faults that a soak injects."""

    VM_KILLED = 'vm-killed'
    VM_STOPPED = 'vm-stopped'
    VM_PAUSED = 'vm-paused'
    VM_HUNG_UP = 'vm-hung-up'
    STORE_BUSY = 'store-busy'
    STORE_RESET = 'store-reset'
    STORE_SILENT = 'store-silent'
    STORE_LOSES_REPLIES = 'store-loses-replies'
    STORE_REFUSES_VM = 'store-refuses-vm'
    SERVER_SLOW = 'server-slow'
    SERVER_FAILS = 'server-fails'
    SERVER_LEAVES = 'server-leaves'
    LINK_CUT = 'link-cut'
    LINK_SILENT = 'link-silent'
    LINK_SLOW = 'link-slow'
    LINK_LOSES_ANSWERS = 'link-loses-answers'
    TABLES_CHANGE = 'tables-change'
    STORE_GOES_BACK = 'store-goes-back'
    SERVER_NAMES_LIMIT = 'server-names-limit'
    SERVER_SAYS_IT_LEAVES = 'server-says-it-leaves'
    SERVER_ASKS_FOR_PAUSE = 'server-asks-for-pause'
    SERVER_NEVER_ENDS = 'server-never-ends'
    VM_LINKS_CUT = 'vm-links-cut'
    DEADLY_REQUEST = 'deadly-request'
    CROWD = 'crowd'


# Kinds that are drawn apart, so that the others of a seed stay the same.
_ADDED_KINDS = (
    FaultKind.STORE_GOES_BACK,
    FaultKind.SERVER_NAMES_LIMIT,
    FaultKind.SERVER_SAYS_IT_LEAVES,
    FaultKind.SERVER_ASKS_FOR_PAUSE,
    FaultKind.SERVER_NEVER_ENDS,
)
_CUT_KINDS = (FaultKind.VM_LINKS_CUT,)
_DEADLY_KINDS = (FaultKind.DEADLY_REQUEST,)
_CROWD_KINDS = (FaultKind.CROWD,)
_MAX_ADDED_GAP_SECONDS = 4.0
_MAX_CUT_GAP_SECONDS = 12.0
_WEIGHTS = MappingProxyType(
    {
        FaultKind.TABLES_CHANGE: 3,
        FaultKind.SERVER_LEAVES: 3,
        FaultKind.VM_STOPPED: 2,
        FaultKind.SERVER_FAILS: 2,
    }
)


@dataclass(frozen=True, slots=True)
class Fault:
    """
    One fault.

    ``start_seconds`` counts from the start of the run; ``target_index`` is
    taken modulo the number of VMs or servers.
    """

    start_seconds: float
    kind: FaultKind
    target_index: int
    duration_seconds: float


def make_plan(seed: int, seconds: float) -> list[Fault]:
    """
    Return the faults of a run.

    None starts in the last seconds of the run.

    >>> make_plan(1, 20) == make_plan(1, 20)
    True
    """
    drawn_apart = _ADDED_KINDS + _CUT_KINDS + _DEADLY_KINDS + _CROWD_KINDS
    first_kinds = [kind for kind in FaultKind if kind not in drawn_apart]
    plan = _draw(random.Random(seed), first_kinds, _MAX_GAP_SECONDS, seconds)
    plan.extend(
        _draw(
            random.Random(f'added {seed}'),
            _ADDED_KINDS,
            _MAX_ADDED_GAP_SECONDS,
            seconds,
        )
    )
    cut_source = random.Random(f'cut {seed}')
    first_cut = cut_source.uniform(_FIRST_SECONDS, _MAX_CUT_GAP_SECONDS)
    plan.extend(
        _draw(cut_source, _CUT_KINDS, _MAX_CUT_GAP_SECONDS, seconds, first_cut)
    )
    plan.extend(
        _draw(
            random.Random(f'deadly {seed}'),
            _DEADLY_KINDS,
            _MAX_CUT_GAP_SECONDS,
            seconds,
        )
    )
    crowd_source = random.Random(f'crowd {seed}')
    plan.extend(
        _draw(crowd_source, _CROWD_KINDS, _MAX_CUT_GAP_SECONDS, seconds)
    )
    return sorted(plan, key=lambda fault: fault.start_seconds)


def _draw(
    random_source: random.Random,
    kinds: Sequence[FaultKind],
    max_gap_seconds: float,
    seconds: float,
    first_seconds: float = _FIRST_SECONDS,
) -> list[Fault]:
    weights = [_WEIGHTS.get(kind, 1) for kind in kinds]
    plan = []
    start_seconds = first_seconds
    while start_seconds < seconds - _QUIET_END_SECONDS:
        plan.append(
            Fault(
                start_seconds,
                random_source.choices(kinds, weights)[0],
                random_source.randrange(1000),
                random_source.uniform(_MIN_FAULT_SECONDS, _MAX_FAULT_SECONDS),
            ),
        )
        start_seconds += random_source.uniform(
            _MIN_GAP_SECONDS, max_gap_seconds
        )
    return plan
