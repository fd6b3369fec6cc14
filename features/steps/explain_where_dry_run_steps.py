"""Steps that show that asking where a request would go changes nothing."""

import asyncio

from behave import then, when

from features.support.asked_gateway import ask_endpoint, run
from features.support.frozen_state import first_difference, freeze
from features.support.gateway import HOST


@when('each kind of question is asked {count:d} times')
def ask_all(context, count):
    state = context.gateway.state
    context.probed = _sent_to_servers(context)

    async def ask_each():
        context.change(context)
        # Drops the arrivals that are too old to count.
        state.own_request_rate()
        context.frozen = freeze((context.gateway, context.look_ups))
        for _ in range(count):
            for path in ('/open/1', '/reads/1', '/split/1', '/none/1'):
                for tenant in ('', 'gold', 'coal', 'steel'):
                    ask_endpoint(
                        context,
                        host=HOST,
                        path=path,
                        tenant=tenant,
                        data_center='dc-b',
                    )
        context.frozen_after = freeze((context.gateway, context.look_ups))
        await asyncio.sleep(0.3)

    run(context, ask_each())


def _sent_to_servers(context):
    return [(one.probed, one.arrivals) for one in context.platform.servers]


@then('the state of the process is as it was before')
def check_frozen(context):
    assert len(repr(context.frozen)) > 10_000
    change = first_difference(context.frozen, context.frozen_after)
    assert context.frozen == context.frozen_after, change


@then('no server got a probe or a request meanwhile')
def check_nothing_sent(context):
    assert _sent_to_servers(context) == context.probed
