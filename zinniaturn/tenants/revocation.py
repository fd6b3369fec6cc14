"""
Decides whether a request's key is still certain to be valid.

A key that was withdrawn must stop working within a bound, also at a VM that
can't learn of it. So where that is asked for, a VM refuses tenants' requests
once its tables may be nearly as old as the bound.

Work: a comparison and one look-up in a hash table for each question.
"""

__all__ = (
    'KeyRuling',
    'RevocationRule',
    'Standing',
)

import enum
from dataclasses import dataclass

from zinniaturn.tenants.table import Tenant, TenantTable

# The rest of the bound is for the way to the server: the write, the network,
# and the turns of the event loop between the question and the write.
_SHARE_OF_BOUND = 0.86
# From here on other VMs serve tenants better. Their callers learn of it before
# this VM refuses their requests.
_DOUBTFUL_SHARE_OF_BOUND = 0.6


class Standing(enum.Enum):
    """What a VM may do for tenants, by the age of its tables' proof."""

    FRESH = 'fresh'
    DOUBTFUL = 'doubtful'
    TOO_OLD = 'too-old'


class KeyRuling(enum.Enum):
    """What to do with a request that needs a key."""

    SERVE = 'serve'
    UNKNOWN_KEY = 'unknown-key'
    TOO_OLD = 'configuration-too-old'


@dataclass(frozen=True, slots=True)
class RevocationRule:
    """
    The bound on the time for which a withdrawn key may be used.

    Without ``fail_closed`` the tables in force decide, however old.

    >>> rule = RevocationRule(fail_closed=True, bound_seconds=5)
    >>> [rule.standing(age).value for age in (2.9, 3.1, 4.2, 4.4)]
    ['fresh', 'doubtful', 'doubtful', 'too-old']
    """

    fail_closed: bool = False
    bound_seconds: float = 0

    def standing(self, age_seconds: float) -> Standing:
        """Return what tables whose proof has this age are good for."""
        if not self.fail_closed:
            return Standing.FRESH
        if age_seconds >= self.bound_seconds * _SHARE_OF_BOUND:
            return Standing.TOO_OLD
        if age_seconds >= self.bound_seconds * _DOUBTFUL_SHARE_OF_BOUND:
            return Standing.DOUBTFUL
        return Standing.FRESH

    def decide(
        self, tenants: TenantTable, key: bytes, age_seconds: float
    ) -> tuple[KeyRuling, Tenant | None]:
        """
        Return the ruling on a key, with its tenant if the request is served.

        ``age_seconds`` is that of the proof of ``tenants``. A key that is
        unknown to tables that are too old may have been added since.
        """
        if not key:
            return KeyRuling.UNKNOWN_KEY, None
        return self.decide_for(tenants.find(key), age_seconds)

    def decide_for(
        self, tenant: Tenant | None, age_seconds: float
    ) -> tuple[KeyRuling, Tenant | None]:
        """Return the ruling on a key by its tenant, ``None`` if unknown."""
        if self.standing(age_seconds) is Standing.TOO_OLD:
            return KeyRuling.TOO_OLD, None
        if tenant is None:
            return KeyRuling.UNKNOWN_KEY, None
        return KeyRuling.SERVE, tenant
