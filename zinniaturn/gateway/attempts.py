"""The attempts of one request: the first, a second beside it, and repeats."""

__all__ = ('AttemptRunner',)

import asyncio
from dataclasses import dataclass

from zinniaturn.choosing.exceptions import RefusedError
from zinniaturn.gateway.attempt import send_once
from zinniaturn.gateway.exceptions import AttemptError
from zinniaturn.gateway.jobs import Job, Placement
from zinniaturn.gateway.placer import Placer
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.messages import Response
from zinniaturn.outcomes import Outcome, combine, decide
from zinniaturn.placing.hedging import hedge_delay

Attempt = asyncio.Task[Response]

_TRY_AGAIN_SECONDS = 0.1


@dataclass(slots=True)
class AttemptRunner:
    """Runs a job's attempts at servers that the placer finds."""

    state: GatewayState
    placer: Placer

    async def run(self, job: Job) -> Response:
        """
        Return the answer that ends the job.

        Raises `RefusedError` where no server brought one; what is known of
        the attempts then stands in the job.
        """
        while True:
            placement = await self.placer.place(job)
            try:
                return await self._attempt(job, placement)
            except AttemptError as error:
                _note(job, error)
                if self._may_repeat(job):
                    continue
                if error.answer is not None:
                    return error.answer
                raise RefusedError(error.message, 'no-server') from error

    async def _attempt(self, job: Job, placement: Placement) -> Response:
        first = self._start(job, placement)
        now = first.get_loop().time()
        delay = hedge_delay(
            placement.work,
            placement.expected,
            job.objective_at - now,
        )
        if not job.idempotent:
            return await first
        running = {first}
        last = job.deadline - placement.work
        try:
            while not first.done() and now + delay < last:
                await asyncio.wait(running, timeout=delay)
                if not first.done() and self._may_hedge(job):
                    await self._join_second(job, running)
                    break
                now += delay
                delay = _TRY_AGAIN_SECONDS
            return await _first_answer(job, running)
        finally:
            for attempt in running:
                attempt.cancel()

    async def _join_second(self, job: Job, running: set[Attempt]) -> None:
        """Send to a second server as well, if one is free."""
        try:
            placement = await self.placer.place(job)
        except RefusedError:
            return
        self.state.counters.events['second_send'] += 1
        running.add(self._start(job, placement))

    def _start(self, job: Job, placement: Placement) -> Attempt:
        name = placement.candidate.name
        job.tried.add(name)
        job.servers.append(name)
        job.attempts += 1
        job.report = placement.report
        if job.first_sent_at is None:
            job.first_sent_at = asyncio.get_running_loop().time()
        job.expected = placement.expected
        return asyncio.ensure_future(self._send(job, placement))

    async def _send(self, job: Job, placement: Placement) -> Response:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        answer = await send_once(
            self.state,
            job,
            placement,
            lambda connection: self.placer.offer_freed(
                job.pool.name,
                placement,
                connection,
                loop.time(),
            ),
        )
        self.placer.work.update(
            job.route.name,
            job.route.objective_seconds,
            loop.time() - sent_at,
            placement.expected,
        )
        return answer

    def _may_repeat(self, job: Job) -> bool:
        known = job.known
        assert known is not None
        if job.idempotent:
            return known.retry_idempotent and self._may_send_again(job)
        surely_not_run = known.outcome is Outcome.NOT_RUN
        allowed = surely_not_run and known.retry_non_idempotent
        return allowed and self._may_send_again(job)

    def _may_hedge(self, job: Job) -> bool:
        if self.placer.queue(job.pool.name).waiting:
            job.second_send = 'others wait'
            return False
        is_allowed = self._may_send_again(job)
        job.second_send = 'sent' if is_allowed else 'not allowed'
        return is_allowed

    def _may_send_again(self, job: Job) -> bool:
        if job.attempts >= job.route.max_attempts:
            return False
        allowance = self.state.allowance(job.pool.name)
        now = asyncio.get_running_loop().time()
        return allowance.try_withdraw(now, self.state.vms.most())


async def _first_answer(job: Job, running: set[Attempt]) -> Response:
    """Return the first answer; raises the last error where none comes."""
    while True:
        done, _ = await asyncio.wait(
            running,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for attempt in done:
            running.discard(attempt)
            error = attempt.exception()
            if error is None:
                return attempt.result()
            if not running:
                raise error
            assert isinstance(error, AttemptError)
            _note(job, error)


def _note(job: Job, error: AttemptError) -> None:
    """Add what an attempt's end says of the request."""
    verdict = decide(error.phase, error.event)
    job.known = combine(job.known, verdict)
    job.detail = error.message
    if verdict.outcome is Outcome.NOT_RUN:
        job.attempts -= 1
