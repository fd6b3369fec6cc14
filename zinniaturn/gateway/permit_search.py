"""Obtains permits for the servers of a pool that name limits."""

__all__ = ('PermitSearch', 'PoolSurvey')

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from zinniaturn.admission.admission import Withholding
from zinniaturn.fleet.tables import FleetPool
from zinniaturn.gateway.state import GatewayState
from zinniaturn.placing.candidates import Candidate

# Servers asked for at once; the next group is asked if none of one has any.
_GROUP_SIZES = (1, 2)
# A request with other servers to choose from requests permits for its next.
_PREFETCH_SAMPLE = 3
_REPLY_SECONDS = 0.02
_MOST_NAMED = 3


@dataclass(slots=True)
class PoolSurvey:
    """
    The servers of a pool by whether a request may be sent to them now.

    ``usable`` may get one, ``limited`` name a limit and have no permit left for
    it, and ``withheld`` tells of each other server why it gets none.
    """

    usable: list[Candidate] = field(default_factory=list)
    limited: list[Candidate] = field(default_factory=list)
    withheld: list[tuple[Candidate, Withholding]] = field(default_factory=list)

    @property
    def is_evacuated(self) -> bool:
        """
        Return whether no server is left as data centres are evacuated.

        A server that has asked for a pause may be back soon.
        """
        if self.usable or self.limited:
            return False
        reasons = {reason for _, reason in self.withheld}
        is_evacuated = Withholding.EVACUATED in reasons
        return is_evacuated and Withholding.PAUSE not in reasons

    def describe_withheld(self) -> list[str]:
        """Return a few of the servers that get no request, with the reason."""
        described = [
            f'{candidate.name}: limit {_describe_limit(candidate)}'
            for candidate in self.limited[:_MOST_NAMED]
        ]
        described.extend(
            f'{candidate.name}: {reason.value}'
            for candidate, reason in self.withheld[:_MOST_NAMED]
        )
        return described


@dataclass(slots=True)
class PermitSearch:
    """Surveys pools and requests permits for their limited servers."""

    state: GatewayState

    def survey(self, pool: FleetPool) -> PoolSurvey:
        """Return which servers of a pool may get a request now."""
        survey = PoolSurvey()
        for candidate in self.state.pools.get(pool.name, {}).values():
            is_registered = not candidate.registered.server.leaving
            if not is_registered or candidate.stats.is_replaced:
                continue
            match candidate.admission.withholding():
                case None:
                    survey.usable.append(candidate)
                case Withholding.LIMIT:
                    survey.limited.append(candidate)
                case reason:
                    survey.withheld.append((candidate, reason))
        return survey

    def request_ahead(self, survey: PoolSurvey) -> None:
        """
        Request permits for later requests.

        Limited servers are asked for as often as they would be chosen at
        random, so that the messages don't grow with the number of servers.
        """
        servers = survey.usable + survey.limited
        count = min(_PREFETCH_SAMPLE, len(servers))
        for candidate in self.state.random_source.sample(servers, count):
            if candidate.admission.is_limited:
                self.state.gossip.permits.request(candidate.admission)

    async def obtain(self, survey: PoolSurvey) -> bool:
        """
        Request permits where no server is usable without.

        Returns whether there is a permit now.
        """
        limited = survey.limited
        count = min(sum(_GROUP_SIZES), len(limited))
        servers = self.state.random_source.sample(limited, count)
        for size in _GROUP_SIZES:
            group, servers = servers[:size], servers[size:]
            if await self._request(group):
                return True
        return False

    def returns_per_second(self, survey: PoolSurvey) -> float:
        """Return this VM's part of the requests that limited servers take."""
        total = sum(
            candidate.admission.limit() or 0 for candidate in survey.limited
        )
        demand = self.state.fleet_request_rate()
        own = self.state.own_request_rate()
        share = own / demand if demand else 1
        return total * max(share, 1 / self.state.vms.max_size())

    async def _request(self, group: Sequence[Candidate]) -> bool:
        """Request permits for some servers and wait for the replies."""
        permits = self.state.gossip.permits
        loop = asyncio.get_running_loop()
        until = loop.time() + _REPLY_SECONDS
        expected = [
            candidate.admission
            for candidate in group
            if permits.request(candidate.admission)
        ]
        while not _has_permit(group):
            is_pending = any(
                permits.is_pending(admission) for admission in expected
            )
            seconds = until - loop.time()
            if not is_pending or seconds <= 0:
                return False
            await permits.wait_for_reply(seconds)
        return True


def _describe_limit(candidate: Candidate) -> str:
    admission = candidate.admission
    kind = ' (cold)' if admission.is_cold else ''
    return f'{admission.limit()}/s{kind}'


def _has_permit(group: Sequence[Candidate]) -> bool:
    return any(candidate.admission.withholding() is None for candidate in group)
