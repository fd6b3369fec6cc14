"""Steps of builds that know the eras of the store, and of those that don't."""

import asyncio

import msgspec
from behave import given, then, when

from features.support.gateway import build_record, wait_until
from zinniaturn.fleet.datagrams import (
    DatagramKind,
    StateClaim,
    decode_datagram,
    encode_datagram,
)
from zinniaturn.fleet.domain import VmStage, VmStatus
from zinniaturn.fleet.messages import decode_state
from zinniaturn.fleet.revisions import era_of, join_revision

# Builds before the eras end their datagrams here.
_FIRST_PARTS = 7
_HOST = '127.0.0.1'
_AGE_MS = 1


class _AnsweringTransport:
    """Keeps the last claim that was sent."""

    def __init__(self):
        self.claim = None

    def sendto(self, payload, address):
        self.claim = decode_datagram(payload).state

    def close(self):
        """Nothing is open."""


@given('the store has been in its second era from the start')
def begin_second_era(context):
    state = context.gateway.fleet_state

    async def begin():
        context.platform.store.era = 2
        await wait_until(lambda: era_of(state.revision) == 2)
        context.platform.store.write('a', b'')
        await wait_until(lambda: state.age_seconds < 1)

    context.loop.run_until_complete(begin())


def _ping(claim, parts=None):
    record = build_record('vm-9')
    sender = VmStatus('vm-9', 1, VmStage.READY, record=record)
    raw = encode_datagram(DatagramKind.PING, 5, sender, claim)
    return msgspec.msgpack.encode(msgspec.msgpack.decode(raw)[:parts])


@when(
    'a VM of a build {which} the eras pings the gateway and fetches its state'
)
def ping_and_fetch(context, which):
    is_before = which == 'before'
    context.parts = _FIRST_PARTS if is_before else None
    peers = context.gateway.peers
    transport = _AnsweringTransport()
    peers.sender.transport.close()
    peers.sender.transport = transport

    async def run():
        ping = _ping(StateClaim(0, 0, _AGE_MS, 0), context.parts)
        peers.datagram_received(ping, (_HOST, 7000))
        context.claim = transport.claim
        return await _fetch_state(context.gateway)

    context.state = context.loop.run_until_complete(run())


async def _fetch_state(gateway):
    """Fetch the state as landed builds do."""
    host, port = gateway.vms.own.exchange
    reader, writer = await asyncio.open_connection(
        host, port + 1, local_addr=(_HOST, 0)
    )
    writer.write(b'GET /state?held=0,0,0 HTTP/1.1\r\nHost: a\r\n\r\n')
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(head.lower().partition(b'content-length:')[2].split()[0])
    raw = await reader.readexactly(length)
    writer.transport.abort()
    return decode_state(raw)


def _told_revisions(context):
    message, content = context.state
    return [context.claim.revision, message.revision, content.parts.tables]


@then('it is told revisions that the store itself has given out')
def check_plain(context):
    highest = context.platform.store.revision
    for revision in _told_revisions(context):
        assert 0 < revision <= highest, (revision, highest)


@then('it is told revisions with their era')
def check_joined(context):
    assert context.claim.revision >= join_revision(2, 1), context.claim
    assert min(_told_revisions(context)) >= join_revision(1, 1)


@then(
    "the gateway takes that VM's word for the age of the state that both hold"
)
def check_confirmed(context):
    gateway = context.gateway
    state = gateway.fleet_state
    state.confirmed_at -= 100
    claim = StateClaim(context.claim.revision, context.claim.digest, _AGE_MS, 0)
    gateway.peers.datagram_received(_ping(claim, context.parts), (_HOST, 7000))
    assert state.age_seconds < 1, state.age_seconds
    assert era_of(state.revision) == 2, state.revision
