"""
Decides where a request's search for a server begins and what leaving costs.

A request begins with servers of its own data centre as long as one with room is
likely to be found there: the way and the bytes that this saves outweigh the
time of a search that fails. The less room there is, the larger the share of the
requests that begin with servers of both sides at once. Even these probe an own
server and take it if it has room, so the slots of the own data centre stay in
use and the share follows its load without swings.
"""

__all__ = (
    'SearchStart',
    'displacement_factor',
    'failure_factor',
    'found_share',
    'slowness_factor',
    'start_for',
    'stay_ratio',
)

from enum import Enum

# What a request that takes a slot elsewhere costs the callers there grows with
# the share of servers that are full there, up to twice its own way.
_MOST_DISPLACEMENT = 1.0
# A second search of the own data centre has to be worth this many times its
# cost, as the first one has shown that there is less room than expected.
_SECOND_SEARCH_RATIO = 2.0
# A data centre that fails every request counts as slower by 1 + this.
_FAILURE_PENALTY = 4.0
# Responses scatter, so that only more than this shows a slow data centre.
_USUAL_RATIO_SPREAD = 1.3


class SearchStart(Enum):
    """
    Which servers a request's rounds of probes begin with.

    ``ELSEWHERE`` begins with those of other data centres.
    ``BOTH_SIDES`` mixes servers of the own and of other data centres in each
    round. ``OWN_FIRST`` begins with a round of own ones and ``OWN_TWICE`` with
    two, after which those of other data centres follow at once.
    """

    ELSEWHERE = 'elsewhere'
    BOTH_SIDES = 'both_sides'
    OWN_FIRST = 'own_first'
    OWN_TWICE = 'own_twice'


def found_share(room: float, probes: int) -> float:
    """
    Return how likely a round of probes finds a server with room.

    >>> found_share(0.5, 1), found_share(0.5, 3)
    (0.5, 0.875)
    """
    return 1 - (1 - room) ** probes


def stay_ratio(
    room: float,
    probes: int,
    mixed_probes: int,
    price_seconds: float,
    round_seconds: float,
) -> float:
    """
    Return what beginning at home saves, as a multiple of what it costs.

    It saves the price of the way where a round of ``probes`` own servers finds
    one that a round of both sides, with ``mixed_probes`` own ones, does not. It
    costs a round where it finds none. ``room`` is the share of own servers with
    room.

    >>> round(stay_ratio(0.7, 3, 1, 0.004, 0.001), 1)
    40.4
    >>> round(stay_ratio(0.02, 3, 1, 0.004, 0.001), 2)
    0.16
    >>> stay_ratio(1.0, 3, 1, 0.004, 0.001)
    inf
    """
    found = found_share(room, probes)
    lost_seconds = (1 - found) * round_seconds
    if lost_seconds <= 0:
        return float('inf')
    gained = found - found_share(room, mixed_probes)
    return gained * price_seconds / lost_seconds


def start_for(ratio: float, draw: float) -> SearchStart:
    """
    Return where a request begins, given its `stay_ratio`.

    ``draw`` is random, from 0 to 1. The share of requests that begin at home
    is the ratio, up to all of them.

    >>> start_for(0.4, 0.3).value, start_for(0.4, 0.5).value
    ('own_first', 'both_sides')
    """
    if ratio >= _SECOND_SEARCH_RATIO:
        return SearchStart.OWN_TWICE
    return SearchStart.OWN_FIRST if draw < ratio else SearchStart.BOTH_SIDES


def displacement_factor(room: float) -> float:
    """
    Return the factor by which a data centre's load raises the way's price.

    ``room`` is the share of its servers with room. Where few have any, a
    request takes the place of one of that data centre's callers, who has to
    leave in turn.

    >>> displacement_factor(1.0), displacement_factor(0.0)
    (1.0, 2.0)
    """
    return 1 + (1 - room) * _MOST_DISPLACEMENT


def failure_factor(share: float, elsewhere: float) -> float:
    """
    Return by how much a data centre is avoided for requests that fail there.

    ``share`` is that of its failures and ``elsewhere`` that of the others.

    >>> failure_factor(0.5, 0.0), failure_factor(0.5, 0.5)
    (3.0, 1.0)
    """
    ratio = (1 + _FAILURE_PENALTY * share) / (1 + _FAILURE_PENALTY * elsewhere)
    return max(1.0, ratio)


def slowness_factor(ratio: float, elsewhere: float) -> float:
    """
    Return by how much latencies exceed what load reports make expect.

    ``ratio`` is a data centre's ratio of actual to expected latency and
    ``elsewhere`` that of the others. Where all are slow alike, none counts as
    slow.

    >>> slowness_factor(1.2, 1.0), slowness_factor(2.6, 1.0)
    (1.0, 2.0)
    """
    return max(1.0, ratio / (max(1.0, elsewhere) * _USUAL_RATIO_SPREAD))
