"""Counts and logs the end of each caller's request."""

__all__ = ('RequestLog', 'decode_text')

import asyncio
from dataclasses import dataclass

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.messages import Request
from zinniaturn.quarantine.request_key import RequestKey, format_key

_MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True)
class RequestLog:
    """Writes one event for each request, with what decided its course."""

    state: GatewayState

    def unserved(
        self,
        request: Request,
        code: str,
        status: int,
        route: str = '',
        detail: str = '',
    ) -> None:
        """Count and log a request without a route or without a valid key."""
        request_id = self.state.wire_format.request_id(request.fields)
        self.state.counters.count_request(route, code)
        self.state.event_log.write(
            LogEvent.REQUEST_ENDED,
            is_failure=True,
            request=decode_text(request_id),
            target=decode_text(request.target),
            route=route,
            outcome=code,
            status=status,
            detail=detail,
            tables_revision=self.state.tables_revision(),
        )

    def ended(self, context: RequestContext, outcome: str, status: int) -> None:
        """Count and log a request that has ended."""
        now = asyncio.get_running_loop().time()
        self.state.counters.count_request(context.route.name, outcome)
        report = context.load_report
        waited_until = context.first_sent_at or now
        self.state.event_log.write(
            LogEvent.REQUEST_ENDED,
            is_failure=outcome != 'answered',
            request=context.request_id,
            route=context.route.name,
            pool=context.pool.name,
            tenant='' if context.tenant is None else context.tenant.name,
            outcome=outcome,
            status=status,
            milliseconds=_tenths(now - context.arrived_at),
            waited_ms=_tenths(waited_until - context.arrived_at),
            servers=context.server_names,
            second_send=context.second_send,
            probed=context.probe_count,
            queued=context.queue_length,
            avoids_slow=context.avoids_slow_servers,
            withheld=context.withheld,
            load=report
            and [
                report.busy,
                report.queued,
                report.slots,
                report.slowness,
            ],
            expected_ms=_tenths(context.expected_seconds),
            elapsed_ms=round(context.elapsed_before * _MILLISECONDS_PER_SECOND),
            limit_ms=round(
                (context.deadline - context.arrived_at)
                * _MILLISECONDS_PER_SECOND
            ),
            detail=context.detail,
            passed_to=context.passed_to,
            taken_from=context.taken_from,
            key=_key_text(context.request_key),
            tables_revision=self.state.tables_revision(),
            state_age_ms=self.state.fleet_state.age_ms,
        )


def decode_text(raw: bytes | None) -> str:
    """Return header text for the log, empty if there is none."""
    return (raw or b'').decode('latin-1')


def _key_text(key: RequestKey | None) -> str:
    return '' if key is None else format_key(key)


def _tenths(seconds: float) -> float:
    """Return milliseconds with one decimal."""
    return round(seconds * _MILLISECONDS_PER_SECOND, 1)
