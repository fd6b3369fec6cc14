"""Steps of datagrams that waited for a paused VM."""

from dataclasses import replace

from behave import given, then, when

from features.support.gateway import build_registered, build_snapshot
from zinniaturn.admission.admission import ServerNotice
from zinniaturn.experiments.gossip_model import GossipModel
from zinniaturn.fleet.datagrams import (
    DatagramExtras,
    DatagramKind,
    NoticeRow,
    StateClaim,
    decode_datagram,
    encode_datagram,
)

_TICK_SECONDS = 0.1
_STARTED_MS = 1
_MS_PER_SECOND = 1000


@given('a VM that holds the same state as another one')
def build_pair(context):
    context.model = GossipModel(2, 1)
    context.clock = context.model.clock
    vms = context.model.vms
    context.receiver = vms[0]
    context.sender = vms[1]
    for vm in vms:
        vm.gossip.fleet_state.install(
            build_snapshot(3, [build_registered('s-1')]), context.clock.now
        )
    _run(context, 1)
    context.confirmed_at = _state(context).confirmed_at


def _state(context):
    return context.receiver.gossip.fleet_state


def _run(context, seconds):
    for _ in range(round(seconds / _TICK_SECONDS)):
        context.clock.advance(_TICK_SECONDS)
        context.receiver.gossip.tick()


@when('it is paused for {seconds:g} s')
def pause_receiver(context, seconds):
    context.clock.advance(seconds)


@when('it runs for {seconds:g} s')
def run_receiver(context, seconds):
    _run(context, seconds)


def _receive(context, age_seconds, notices=()):
    gossip = context.sender.gossip
    claim = StateClaim(
        gossip.fleet_state.revision,
        gossip.fleet_state.digest,
        round(age_seconds * _MS_PER_SECOND),
        gossip.vms.checksum(),
    )
    raw = encode_datagram(
        DatagramKind.PUSH,
        0,
        replace(gossip.vms.own_status, record=context.sender.record),
        claim,
        (),
        DatagramExtras(notices=notices),
    )
    context.receiver.gossip.datagram_received(
        raw, context.sender.record.exchange
    )


@when('a datagram arrives that says the state was confirmed {seconds:g} s ago')
def receive_claim(context, seconds):
    _receive(context, seconds)


@when(
    'a datagram arrives that says "{server}" named a limit of {limit:g} '
    '{seconds:g} s ago'
)
def receive_notice(context, server, limit, seconds):
    age_ms = round(seconds * _MS_PER_SECOND)
    row = NoticeRow(server, _STARTED_MS, limit, is_leaving=False, age_ms=age_ms)
    _receive(context, seconds, (row,))


@given(
    'it heard {seconds:g} s ago that server "{server}" names a limit of '
    '{limit:g}'
)
def hear_notice(context, seconds, server, limit):
    context.receiver.gossip.admissions.adopt(
        ServerNotice(
            server,
            _STARTED_MS,
            limit,
            said_at=context.clock.now - seconds,
            source='vm-9',
        )
    )


@then('it holds a limit of {limit:g} for "{server}"')
def check_held_limit(context, limit, server):
    admissions = context.receiver.gossip.admissions.admissions
    assert admissions[server].notice.limit == limit


@then('its state was not confirmed')
def check_not_confirmed(context):
    assert _state(context).confirmed_at == context.confirmed_at


@then('its state was confirmed')
def check_confirmed(context):
    assert _state(context).confirmed_at > context.confirmed_at


@when(
    'its notice of "{server}" is queued and "{same}" is registered with a '
    'later start'
)
def restart_server(context, server, same):
    gossip = context.receiver.gossip
    gossip.sender.pass_on_notice(server)
    gossip.admissions.of_process(same, _STARTED_MS + 1)


class _ListedTransport:
    """A transport that keeps what is sent in a list."""

    def __init__(self, sent):
        self.sent = sent

    def sendto(self, raw, address):
        self.sent.append(raw)


@then('it sends a datagram without a notice')
def check_without_notice(context):
    sent = []
    gossip = context.receiver.gossip
    gossip.sender.transport = _ListedTransport(sent)
    gossip.push()
    assert [decode_datagram(raw).notices for raw in sent] == [()]
