"""Describes for operators where a request would go."""

__all__ = ('describe_where',)

from collections.abc import Iterator, Mapping

from zinniaturn.gateway.where_answer import (
    AllowanceView,
    LookUpView,
    PoolView,
    ReportAges,
    ServerView,
    WhereAnswer,
)


def describe_where(answer: WhereAnswer) -> Iterator[str]:
    """Return the lines of an answer, the outcome first."""
    yield f'{_outcome(answer)}: {answer.reason}'
    yield (
        f'VM {answer.vm} in {answer.data_center}, tables revision '
        f'{answer.tables_revision}, state {answer.state_age_seconds:.1f} s old'
    )
    if not answer.route:
        return
    yield f'route {answer.route}, priority {answer.priority}'
    if answer.is_key_required:
        yield (
            f'tenant {answer.tenant or "unknown"}; keys proven '
            f'{answer.proof_age_seconds or 0:.1f} s ago'
        )
    if answer.allowance is not None:
        yield _allowance(answer.allowance)
    if answer.look_ups is not None:
        yield _look_ups(answer.look_ups)
    if answer.pool is not None:
        yield from _describe_pool(answer.pool)


def _outcome(answer: WhereAnswer) -> str:
    if answer.code:
        text = f'{answer.outcome}, {answer.code} with status {answer.status}'
        if answer.retry_after_seconds is None:
            return text
        return f'{text}, retry after {answer.retry_after_seconds:.2f} s'
    if answer.targets:
        return f'{answer.outcome} to {", ".join(answer.targets)}'
    return answer.outcome


def _allowance(allowance: AllowanceView) -> str:
    owner = allowance.owner or 'not known yet'
    if allowance.is_ownerless:
        owner = 'none that can be asked'
    return (
        f'allowance {allowance.per_second:g}/s, burst {allowance.burst:g}: '
        f'{allowance.permits} permits held, owner {owner}'
    )


def _look_ups(look_ups: LookUpView) -> str:
    if not look_ups.vms:
        return 'this VM has answered no look-up yet'
    share = 'any VM'
    if look_ups.own_share is not None:
        share = f'{look_ups.own_share:.0%} VMs of it'
    named = 'among them' if look_ups.has_this_vm else 'not among them'
    return (
        f'look-ups tell callers in {look_ups.data_center} {share}: '
        f'{look_ups.own_vms} of {look_ups.vms} VMs are there; this VM is '
        f'{named}'
    )


def _describe_pool(pool: PoolView) -> Iterator[str]:
    drawn = ', one of several that are drawn at random' if pool.is_drawn else ''
    yield f'pool {pool.name}{drawn}, {pool.queue_length} requests wait'
    if pool.shares:
        yield f'shares: {_figures(pool.shares)}'
    yield f'servers by state: {_figures(pool.states) or "none"}'
    for data_center, place in pool.places.items():
        yield (
            f'in {data_center}: {place.with_room} of {place.usable} usable '
            f'servers have room, {place.servers} in all'
        )
    yield _reports(pool.reports)
    if pool.leaving.is_active:
        yield (
            f'searches begin {_figures(pool.leaving.starts)}; '
            f'{_figures(pool.leaving.inputs)}'
        )
    for server in pool.servers:
        yield f'  {_server(server, pool.warm_up_per_second)}'
    unnamed = pool.reports.servers - len(pool.servers)
    if unnamed:
        yield f'  and {unnamed} more'


def _figures(figures: Mapping[str, float]) -> str:
    """Return names with their figures."""
    return ', '.join(f'{name} {figure:g}' for name, figure in figures.items())


def _reports(reports: ReportAges) -> str:
    if reports.oldest_ms is None:
        return 'load reports: none'
    return (
        f'load reports: {reports.newest_ms:.0f} to {reports.oldest_ms:.0f} ms '
        f'old; {reports.without_report} servers have none'
    )


def _server(server: ServerView, per_second: float) -> str:
    parts = [f'{server.name} in {server.data_center}: {server.state}']
    if server.seconds_left:
        parts.append(f'for {server.seconds_left:.1f} s more')
    if server.limit is not None:
        parts.append(
            f'limit {server.limit:g}/s with {server.permits} permits held'
        )
    if server.cold_seconds:
        rate = f', takes {per_second:g}/s' if per_second else ''
        parts.append(f'cold for {server.cold_seconds:.1f} s{rate}')
    parts.append(_load(server))
    parts.append(f'expected {server.expected_ms:.0f} ms')
    if server.way_ms or server.price_ms:
        parts.append(
            f'way {server.way_ms:g} ms and price {server.price_ms:g} ms, '
            f'together {server.cost_ms:.0f} ms'
        )
    return ', '.join(parts)


def _load(server: ServerView) -> str:
    if server.report_age_ms is None:
        return 'no load report'
    room = 'room' if server.has_room else 'full'
    return (
        f'{room} {server.report_age_ms:.0f} ms ago ({server.running} running, '
        f'{server.waiting} waiting, {server.slots} slots)'
    )
