"""The policies by name, and the setting that selects one for each pool."""

__all__ = ('PRODUCT_POLICY', 'policy_for_pool', 'policy_named')

import random
from collections.abc import Callable, Mapping
from types import MappingProxyType

from zinniaturn.choosing.exceptions import UnknownPolicyError
from zinniaturn.choosing.hot_cold import HotCold
from zinniaturn.choosing.policies import (
    EstimatedWait,
    LeastInFlight,
    Policy,
    PowerOfTwo,
    RandomChoice,
    RoundRobin,
)

PRODUCT_POLICY = 'estimated-wait'

_POLICIES: Mapping[str, Callable[[random.Random], Policy]] = MappingProxyType(
    {
        PRODUCT_POLICY: EstimatedWait,
        'hot-cold': HotCold,
        'least-in-flight': LeastInFlight,
        'power-of-two': PowerOfTwo,
        'random': RandomChoice,
        'round-robin': RoundRobin,
    }
)


def policy_named(name: str, random_source: random.Random) -> Policy:
    """Return the policy of this name; raises `UnknownPolicyError`."""
    if name not in _POLICIES:
        known = ', '.join(sorted(_POLICIES))
        raise UnknownPolicyError(f'no policy "{name}"; known are {known}')
    return _POLICIES[name](random_source)


def policy_for_pool(
    setting: str, pool: str, random_source: random.Random
) -> Policy:
    """
    Return the policy of a pool by the setting ``NAME[,POOL=NAME]...``.

    Raises `UnknownPolicyError`.

    >>> policy_for_pool('random,card=round-robin', 'card', random.Random(1))
    ... # doctest: +ELLIPSIS
    <zinniaturn.choosing.policies.RoundRobin object at ...>
    """
    default, *overrides = setting.split(',')
    for override in overrides:
        name, _, policy = override.partition('=')
        if name == pool:
            return policy_named(policy, random_source)
    return policy_named(default, random_source)
