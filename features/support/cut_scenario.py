"""What the steps of lost links and of passed on requests share."""

import asyncio

from features.support.cut_traffic import CutTraffic, served_share
from zinniaturn.events.catalogue import LogEvent

LEAST_SHARE = 2 / 3


def numbers_in(text):
    return [int(number) for number in text.split()]


def all_numbers(context):
    return range(1, len(context.platform.gateways) + 1)


def gateway_at(context, number):
    return context.platform.gateways[number - 1]


def run_until_done(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def traffic_of(context):
    if not hasattr(context, 'traffic'):
        wait_ms = getattr(context, 'wait_ms', 1000)
        context.traffic = CutTraffic(context.platform, wait_ms)
    return context.traffic


def counted_at(context, number):
    counted = [one for one in context.counted if one.gateway == number]
    assert counted
    return counted


def ended_rows(context, number, request_id):
    return [
        row
        for row in gateway_at(context, number).event_log.rows
        if row['event'] == LogEvent.REQUEST_ENDED
        and row['request'] == request_id
    ]


async def send_together(context, number, reads, posts):
    """Start requests at a gateway and return the task of their responses."""
    traffic = traffic_of(context)
    sends = [traffic.send(number) for _ in range(reads)]
    sends.extend(traffic.send(number, is_post=True) for _ in range(posts))
    return asyncio.gather(*sends)


def assert_most_served(context, number):
    """Check the users' rule on the counted tries at a gateway."""
    tries = counted_at(context, number)
    assert served_share(tries) >= LEAST_SHARE, tries
