"""What the steps of deadly and of held requests share."""

import asyncio
import itertools
import json

DEADLY_TARGET = '/reads/deadly'
PAUSE_SECONDS = 0.15
LONGEST_TRIES = 60
SUCCESS = 200
_UNAVAILABLE = 503
_HELD = 'request-held'


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def code_of(answer):
    return json.loads(answer.body)['code'] if answer.body else ''


def is_held(answer):
    return answer.status == _UNAVAILABLE and code_of(answer) == _HELD


async def send_until_held(context, gateways):
    for gateway in itertools.islice(itertools.cycle(gateways), LONGEST_TRIES):
        if is_held(await context.fleet.send(gateway, DEADLY_TARGET)):
            return
        await asyncio.sleep(PAUSE_SECONDS)
    raise AssertionError(context.fleet.rule.crashes)


def gateway_numbers(context):
    return range(len(context.platform.gateways))
