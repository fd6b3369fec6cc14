"""Steps of clients that ask for the fleet's state."""

import asyncio
import hashlib

from behave import given, then

from features.support.gateway import send_request
from zinniaturn.experiments.soak.vms import VM_PORTS
from zinniaturn.fleet.exceptions import PeerMessageError
from zinniaturn.fleet.messages import decode_state

_PATIENCE_SECONDS = 20
_ATTEMPT_SECONDS = 5
_PAUSE_SECONDS = 0.1
_REQUEST = b'GET /state?held=0,0,0 HTTP/1.1\r\nHost: vm\r\n\r\n'


@given('{count:d} servers of another pool')
def write_servers(context, count):
    context.registered = count + len(context.servers)
    entry = dict(context.servers[0].entry(), service='other')
    for number in range(count):
        # Names that compression can't shorten much.
        name = hashlib.sha256(b'%d' % number).hexdigest()
        context.store.write(f'servers/{name}', entry)


@then('another client gets the state of all servers beside them')
def check_state(context):
    address = context.vm.host, VM_PORTS.range_start + 1

    async def ask():
        while True:
            try:
                answer = await send_request(address, _REQUEST, _ATTEMPT_SECONDS)
                return decode_state(answer[2])[1]
            except (OSError, EOFError, PeerMessageError):
                await asyncio.sleep(_PAUSE_SECONDS)

    content = context.loop.run_until_complete(
        asyncio.wait_for(ask(), _PATIENCE_SECONDS)
    )
    assert len(content.servers.rows) == context.registered, len(
        content.servers.rows
    )
