"""Steps for the bound on the use of withdrawn keys, without a network."""

from types import MappingProxyType

from behave import given, then, when

from features.support.gateway import build_fleet_state, build_snapshot
from features.support.revocation_model import (
    BROKEN,
    KEYS,
    RevocationModel,
    decode_keys,
    run_with_faults,
)
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.datagrams import (
    Datagram,
    DatagramKind,
    ProofRow,
    StateClaim,
)
from zinniaturn.fleet.domain import TablesDocument, VmStage, VmStatus
from zinniaturn.fleet.gossip_sender import GossipSender
from zinniaturn.fleet.poll_schedule import PollSchedule
from zinniaturn.fleet.proof_exchange import ProofExchange
from zinniaturn.fleet.revisions import join_revision
from zinniaturn.fleet.status_rows import StatusRow
from zinniaturn.fleet.store_poller import StorePoller
from zinniaturn.fleet.tables import FleetTables
from zinniaturn.fleet.tables_proof import TablesProof
from zinniaturn.fleet.vms import outdated_vms, serving_vms
from zinniaturn.placing.address_selection import vms_up_to_date
from zinniaturn.tenants import (
    KeyRuling,
    RevocationRule,
    Standing,
    Tenant,
    TenantTable,
)

_TENANTS = TenantTable.build([(Tenant('gold'), [b'known'])])
_KEYS = MappingProxyType(
    {'a known key': b'known', 'another key': b'other', 'no key': b''}
)
_LOST_SECONDS = 1000
_QUIET_SECONDS = 10
_VERSIONS = MappingProxyType({b'a': 3, b'b': 4, b'older': 2})


@when(
    'a request with {key} is judged by tables whose proof is {age:g} s old, '
    'the bound being {bound:g} s'
)
def judge(context, key, age, bound):
    rule = RevocationRule(fail_closed=True, bound_seconds=bound)
    context.ruling = rule.decide(_TENANTS, _KEYS[key], age)


@when(
    'a request with a known key is judged by tables of any age '
    'without fail_closed'
)
def judge_open(context):
    context.ruling = RevocationRule().decide(_TENANTS, b'known', float('inf'))


@then('it is ruled "{ruling}"')
def check_ruling(context, ruling):
    got, tenant = context.ruling
    assert got.value == ruling, got
    assert (tenant is not None) == (got is KeyRuling.SERVE), tenant


def _decode(document):
    tables = decode_keys(document)
    return FleetTables(
        document.revision,
        version=_VERSIONS.get(document.raw, 3),
        tenants=tables.tenants,
    )


def _build_poller(clock):
    state = build_fleet_state(clock, _decode)
    return StorePoller(None, state, None, PollSchedule(None))


def _read(context, started_at, raw, revision, document_revision=None):
    """Let a read that began at a time bring a document, or none."""
    document = None
    if raw is not None:
        document = TablesDocument(document_revision or revision, raw)
    context.clock.now = max(context.clock.now, started_at + 1)
    context.poller.install(
        build_snapshot(revision, document=document), started_at
    )


@given('a VM that has read tables at {seconds:g} s')
def read_first(context, seconds):
    context.clock = ManualClock(seconds)
    context.poller = _build_poller(context.clock)
    context.proof = context.poller.fleet_state.proof
    _read(context, seconds, b'a', 10)


@when('a read from 104 s to 105 s brings the same document')
def read_same(context):
    _read(context, 104, b'a', 12, 10)


@when('a read from 104 s to 105 s brings a newer document')
def read_newer(context):
    _read(context, 104, b'b', 12)


@when('a read from 104 s to 105 s brings a broken document')
def read_broken(context):
    _read(context, 104, BROKEN, 12)


@when('two reads from 104 s and from 106 s bring a broken document')
def read_broken_twice(context):
    _read(context, 104, BROKEN, 12)
    _read(context, 106, BROKEN, 13, 12)


@when('a broken document and then a newer one are read from 106 s')
def read_mended(context):
    _read(context, 104, BROKEN, 12)
    _read(context, 106, b'b', 14)


@when('a read from 104 s to 105 s brings no document')
def read_nothing(context):
    _read(context, 104, None, 12)


@when('a read from 104 s to 105 s brings an older revision')
def read_older(context):
    context.poller.fleet_state.confirm(12, 101)
    _read(context, 104, b'a', 11, 10)


@when("a read from 104 s to 105 s brings an era's earlier version")
def read_reverted(context):
    _read(context, 104, b'older', join_revision(1, 4), join_revision(1, 3))
    _read(context, 104, b'older', join_revision(2, 4), join_revision(2, 3))
    assert context.poller.fleet_state.tables.version == 3


@when("another VM's datagram confirms the state as of 104 s")
def confirm(context):
    context.clock.now = 105
    context.poller.fleet_state.confirm(12, 104)


def _exchange(context):
    sender = GossipSender(context.poller.fleet_state, None, None, None)
    return ProofExchange(context.proof, None, sender)


def _datagram(row, kind=DatagramKind.ACK, sequence=1):
    return Datagram(
        3,
        kind,
        sequence,
        StatusRow.of(VmStatus('vm-2', 1, VmStage.READY)),
        StateClaim(0, 0, 0, 0),
        proof=row,
    )


@when('a VM asked at 105 s replies that its proof is 2 s old')
def learn(context):
    context.clock.now = 106
    _exchange(context).receive(_datagram(ProofRow(10, 2000)), None, 105)


@when('a VM asked at 105 s replies that its proof of other tables is 0 s old')
def learn_of_others(context):
    context.clock.now = 106
    _exchange(context).receive(_datagram(ProofRow(11, 0)), None, 105)


@when(
    'a broken document is read, and a VM asked at 105 s replies '
    'that its proof is 2 s old'
)
def learn_while_broken(context):
    _read(context, 104, BROKEN, 12)
    for revision in (10, 12):
        row = ProofRow(revision, 2000)
        _exchange(context).receive(_datagram(row), None, 105)


@then('at {now:g} s the proof of its tables is {age:g} s old')
def check_age(context, now, age):
    context.clock.now = now
    assert context.proof.age_seconds == age, context.proof


@given('a VM that has got its tables from a VM that tells no proof')
def hear_tables(context):
    context.clock = ManualClock(100)
    state = build_fleet_state(context.clock, _decode)
    document = TablesDocument(10, b'a')
    state.install(build_snapshot(10, document=document), 100)
    context.proof = state.proof


@then('its tables are not proven at all')
def check_unproven(context):
    assert context.proof.age_seconds == float('inf')
    assert context.proof.age_ms is None


@given('a fleet of {size:d} VMs that hold the same tables')
def build_fleet(context, size):
    context.model = RevocationModel(size, seed=1)
    context.model.run(2)
    context.model.cut_from_store.update(vm.name for vm in context.model.vms)
    context.vm = context.model.vms[0]
    context.other = context.model.vms[1]


def _proof(vm):
    return vm.gossip.fleet_state.proof


@when('a VM pings the other one, whose reply comes {seconds:g} s later')
def reply_late(context, seconds):
    model, gossip = context.model, context.vm.gossip
    peer = gossip.vms.vms[context.other.name]
    now = model.clock.now
    gossip.sender.send_round(gossip.detector.ping(peer, now))
    model.pause(context.other, 0.01)
    sequence = max(
        gossip.detector.pending,
        key=lambda one: gossip.detector.pending[one].started_at,
    )
    pinged_at = gossip.detector.acknowledge(sequence)
    _proof(context.other).proven_at = now
    _proof(context.vm).proven_at = float('-inf')
    row = ProofRow(_proof(context.other).revision, _proof(context.other).age_ms)
    model.clock.advance(seconds)
    gossip.proofs.receive(_datagram(row), peer, pinged_at)


@then('the proof it gains is older than {seconds:g} s')
def check_gained(context, seconds):
    assert seconds < _proof(context.vm).age_seconds < seconds + 1


@when("a reply comes to a ping that the VM hasn't sent")
def reply_unasked(context):
    gossip = context.vm.gossip
    _proof(context.vm).proven_at = context.model.clock.now - _LOST_SECONDS
    gossip.detector.pending.clear()
    peer = gossip.vms.vms[context.other.name]
    row = ProofRow(_proof(context.other).revision, 1)
    pinged_at = gossip.detector.acknowledge(1)
    gossip.proofs.receive(_datagram(row), peer, pinged_at)


@then('it gains no proof, and asks the sender')
def check_asked(context):
    assert _proof(context.vm).age_seconds >= _LOST_SECONDS
    detector = context.vm.gossip.detector
    targets = [ping.target.name for ping in detector.pending.values()]
    assert targets == [context.other.name], targets


@given(
    '{size:d} VMs whose keys are withdrawn and added at random, '
    'with seed {seed:d}'
)
def build_model(context, size, seed):
    context.model = RevocationModel(size, seed)


@given(
    '{size:d} VMs that trust datagrams however late, whose keys are withdrawn '
    'and added at random, with seed {seed:d}'
)
def build_trusting_model(context, size, seed):
    context.model = RevocationModel(size, seed, trusts_all=True)


@when(
    'for {seconds:g} s VMs are paused and cut off, messages come late '
    'and documents are broken'
)
def play_faults(context, seconds):
    run_with_faults(context.model, seconds)


@then('no request is sent whose key was withdrawn for longer than the bound')
def check_none_late(context):
    assert not context.model.late, context.model.late[:5]
    assert all(context.model.rulings.values()), context.model.rulings


@then('some request is sent whose key was withdrawn for longer than the bound')
def check_some_late(context):
    assert context.model.late


@then('without faults no proof gets older than {seconds:g} s')
def check_quiet(context, seconds):
    model = context.model
    model.run(2)
    model.oldest_proof = 0
    model.run(_QUIET_SECONDS)
    assert 0 < model.oldest_proof < seconds, model.oldest_proof
    assert model.rulings[KeyRuling.SERVE], model.rulings
    assert not model.rulings[KeyRuling.TOO_OLD], model.rulings
    assert len(KEYS) == 3


@when('{count:d} VM gets no proof any more, and {seconds:g} s pass')
def lose_proofs(context, count, seconds):
    model = context.model
    for vm in model.vms:
        gossip = vm.gossip
        gossip.is_outdated = _outdated_check(model.rule, gossip)
    model.run(2)
    context.lost = model.vms[:count]
    for vm in context.lost:
        model.cut_from_store.add(vm.name)
        # What it learns from others counts for tables that it doesn't use.
        vm.gossip.proofs.proof = TablesProof(model.clock)
    model.run(seconds)


def _outdated_check(rule, gossip):
    proof = gossip.fleet_state.proof
    return lambda: rule.standing(proof.age_seconds) is not Standing.FRESH


def _named(vm):
    """Return the VMs that a VM's look-ups name."""
    table = vm.gossip.vms
    serving = serving_vms(table, own_is_ready=True)
    return {
        record.name for record in vms_up_to_date(serving, outdated_vms(table))
    }


@then('the look-ups of each VM name all but that VM')
def check_unnamed(context):
    names = {vm.name for vm in context.model.vms} - {context.lost[0].name}
    for vm in context.model.vms:
        assert _named(vm) == names, vm.name


@then('the look-ups of each VM name all VMs')
def check_all_named(context):
    names = {vm.name for vm in context.model.vms}
    for vm in context.model.vms:
        assert vm.gossip.vms.own_status.is_outdated
        assert _named(vm) == names, vm.name


@then('that VM still serves tenants')
def check_still_served(context):
    age = _proof(context.lost[0]).age_seconds
    assert context.model.rule.standing(age) is Standing.DOUBTFUL, age
