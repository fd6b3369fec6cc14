"""Finding the server for a request: asking a few and taking the best."""

__all__ = ('Placer',)

import asyncio

from zinniaturn.choosing.exceptions import RefusedError
from zinniaturn.choosing.reports import LoadReport
from zinniaturn.gateway.asker import Asked, Asker
from zinniaturn.gateway.jobs import Job, Placement
from zinniaturn.gateway.state import GatewayState
from zinniaturn.placing.asking import Asking, Candidate
from zinniaturn.placing.expecting import WorkEstimates, expected_seconds
from zinniaturn.placing.returning import ReturnTimes

_GOOD_FACTOR = 1.3
_UNHEALTHY_FACTOR = 3.0
_FULL_PER_SLOT = 2.5
_WAIT_SECONDS = 0.03
_HOPELESS_FACTOR = 0.75


class Placer:
    """Places requests; it keeps the estimates that this needs."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.asker = Asker(state.connections, state.dialect)
        self.asking = Asking(state.source)
        self.work = WorkEstimates()
        self.returns = ReturnTimes(state.source)
        self.refused_lately = 0

    async def place(self, job: Job) -> Placement:
        """Return the best server; raises `RefusedError`."""
        loop = asyncio.get_running_loop()
        work = self.work.work_seconds(
            job.route.name,
            job.route.objective_seconds,
        )
        while True:
            best = await self._best(job, work)
            if best is None:
                raise self._refusal(job, work, 'no server can be reached')
            now = loop.time()
            if best.expected * _HOPELESS_FACTOR > job.seconds_left(now):
                self._drop(best)
                raise self._refusal(job, work, 'no server is free in time')
            if not _is_full(best.report):
                return best
            self._drop(best)
            if work * 2 > job.seconds_left(now):
                raise self._refusal(job, work, 'all servers are full')
            await asyncio.sleep(
                self.state.source.uniform(0.5, 1.5) * _WAIT_SECONDS,
            )

    def _candidates(self, job: Job) -> list[Candidate]:
        every = [
            candidate
            for candidate in self.state.pools.get(job.pool.name, {}).values()
            if not candidate.registered.server.leaving
            and not candidate.memory.is_replaced
        ]
        untried = [each for each in every if each.name not in job.tried]
        return untried or every

    async def _best(self, job: Job, work: float) -> Placement | None:
        loop = asyncio.get_running_loop()
        order = self.asking.order(self._candidates(job), loop.time())
        first = order[: self.asking.first]
        answers = await self.asker.ask(first, job.pool.health_path)
        job.asked += len(first)
        best = self._choose(answers, work, loop.time())
        rest = order[self.asking.first :]
        if rest and (best is None or best.expected > work * _GOOD_FACTOR):
            try:
                more = await self.asker.ask(rest, job.pool.health_path)
            except asyncio.CancelledError:
                for asked in answers:
                    self.asker.give_back(asked)
                raise
            job.asked += len(rest)
            answers.extend(more)
            best = self._choose(answers, work, loop.time())
        for asked in answers:
            if best is None or asked.connection is not best.connection:
                self.asker.give_back(asked)
        if best is None and order:
            return self._unasked(order, work, loop.time())
        return best

    def _choose(
        self,
        answers: list[Asked],
        work: float,
        now: float,
    ) -> Placement | None:
        best: Placement | None = None
        for asked in answers:
            memory = asked.candidate.memory
            expected = expected_seconds(work, asked.report, memory, now)
            if not asked.is_healthy or memory.out_until > now:
                expected *= _UNHEALTHY_FACTOR
            if best is None or expected < best.expected:
                best = Placement(
                    asked.candidate,
                    asked.connection,
                    work,
                    expected,
                    asked.report,
                )
        return best

    def _unasked(
        self,
        order: list[Candidate],
        work: float,
        now: float,
    ) -> Placement:
        """Take the server with the least of our own where none answered."""
        candidate = min(order, key=lambda each: each.memory.in_flight)
        slots = candidate.registered.server.slots
        report = LoadReport(candidate.memory.in_flight, 0, slots)
        expected = expected_seconds(work, report, candidate.memory, now)
        return Placement(candidate, None, work, expected)

    def _drop(self, placement: Placement) -> None:
        connection = placement.connection
        if connection is not None:
            server = placement.candidate.registered.server
            self.state.connections.keep((server.host, server.port), connection)

    def _refusal(self, job: Job, work: float, detail: str) -> RefusedError:
        seconds = self.returns.seconds(work, self.refused_lately)
        return RefusedError(detail, 'no-server', seconds)


def _is_full(report: LoadReport | None) -> bool:
    if report is None:
        return False
    return report.total >= report.slots * _FULL_PER_SLOT
