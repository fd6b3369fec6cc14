"""Steps of the gossip between VMs."""

from collections import Counter

from behave import given, then, when

from features.support.gateway import build_record, hear, seeded_random
from zinniaturn.clock import ManualClock
from zinniaturn.experiments.gossip_model import GossipModel
from zinniaturn.fleet.peer_selector import PeerSelector
from zinniaturn.fleet.vms import VmTable, serving_vms

_WARM_UP_SECONDS = 0.5
_OLD_VERSION = 5


@given(
    '{size:d} VMs that lose {percent:d} % of their datagrams, with seed '
    '{seed:d}'
)
def build_fleet(context, size, percent, seed):
    context.model = GossipModel(size, seed, percent / 100)
    context.model.run(_WARM_UP_SECONDS)
    context.dead = set()
    context.sent_before = _sent(context.model)


def _sent(model):
    return [(vm.datagrams_sent, vm.bytes_sent) for vm in model.vms]


@when('{count:d} VM dies')
def kill_some(context, count):
    vms = context.model.vms[:count]
    context.vm = vms[0]
    context.model.kill(vms)
    context.dead = {vm.name for vm in vms}


@when('{percent:d} % of the VMs die')
def kill_share(context, percent):
    kill_some(context, len(context.model.vms) * percent // 100)


@when('the fleet runs for {seconds:g} s')
def let_pass(context, seconds):
    context.model.run(seconds)
    context.seconds = seconds


@when('{count:d} VM announces that it stops')
def announce_stop(context, count):
    context.vm = context.model.vms[0]
    context.model.stop(context.vm)


@when('{count:d} VM is paused for {seconds:g} s')
def pause(context, count, seconds):
    context.vm = context.model.vms[0]
    context.model.pause(context.vm, seconds)


@when('it starts again with its clock set back')
def restart(context):
    context.model.restart(context.vm, _OLD_VERSION)


@when('{count:d} VM is cut off from the others')
def cut_off(context, count):
    context.vm = context.model.vms[0]
    context.vm.side = 1


@when('half of the VMs are cut off from the others')
def cut_half(context):
    for vm in context.model.vms[::2]:
        vm.side = 1


@when('the cut heals')
def heal(context):
    for vm in context.model.vms:
        vm.side = 0


def _ready_names(vm):
    return {
        record.name for record in serving_vms(vm.gossip.vms, own_is_ready=False)
    }


@then('no VM returns a dead one in look-ups')
def check_no_dead(context):
    for vm in context.model.running():
        assert not context.dead & _ready_names(vm), vm.name


@then('VMs return at most {percent:d} % of the dead ones in look-ups')
def check_few_dead(context, percent):
    running = context.model.running()
    returned = sum(len(context.dead & _ready_names(vm)) for vm in running)
    share = returned / len(running) / len(context.dead)
    assert share <= percent / 100, share


@then('every VM returns all others in look-ups')
def check_all_returned(context):
    names = {vm.name for vm in context.model.vms}
    for vm in context.model.vms:
        assert _ready_names(vm) == names - {vm.name}, vm.name


@then(
    'each VM sent at most {datagrams:d} datagrams and {most:d} bytes a second'
)
def check_cost(context, datagrams, most):
    for before, after in zip(
        context.sent_before, _sent(context.model), strict=True
    ):
        assert after[0] - before[0] <= datagrams * context.seconds
        assert after[1] - before[1] <= most * context.seconds


@then('no VM returns it in look-ups')
@then('no other VM returns it in look-ups')
def check_left_out(context):
    for vm in context.model.vms:
        assert context.vm.name not in _ready_names(vm), vm.name


@then('it returns all others in look-ups')
def check_keeps_others(context):
    names = {vm.name for vm in context.model.vms}
    assert _ready_names(context.vm) == names - {context.vm.name}


@then('it has no quorum')
def check_no_quorum(context):
    assert not context.vm.gossip.vms.has_quorum()


@then('each VM returns just its own part in look-ups')
def check_parts(context):
    for vm in context.model.vms:
        part = {
            other.name
            for other in context.model.vms
            if other.side == vm.side and other is not vm
        }
        assert _ready_names(vm) == part, vm.name


def _far_bytes(model):
    return sum(vm.far_bytes_sent for vm in model.vms)


@when('VMs spare other data centres, and the fleet runs for {seconds:g} s')
def spare_far(context, seconds):
    context.far_before = _far_bytes(context.model)
    context.model.spares_far = True
    context.model.run(seconds)


@then(
    'they have sent at most {share:g} of the bytes to other data centres that '
    'they sent before'
)
def check_far_bytes(context, share):
    sparing = _far_bytes(context.model) - context.far_before
    assert sparing <= share * context.far_before, (sparing, context.far_before)


@given(
    'VMs that spare other data centres, {large:d} in one of them and '
    '{small:d} in another one'
)
def build_uneven_table(context, large, small):
    table = VmTable(build_record('own', 'large'), ManualClock(1))
    counts = {'large': large - 1, 'small': small}
    for data_center, count in counts.items():
        for number in range(count):
            name = f'{data_center}-{number}'
            hear(table, build_record(name, data_center))
    context.selector = PeerSelector(table, seeded_random(), lambda: True)


@when('those of the large one ping for {seconds:d} s')
def ping_for(context, seconds):
    context.pings = Counter(
        context.selector.next_target().name for _ in range(4000 * seconds)
    )


@then(
    'each VM of the small one is pinged at least {share:g} times as often as '
    'one of the large one'
)
def check_small_pinged(context, share):
    pings = context.pings
    most = max(count for name, count in pings.items() if 'large' in name)
    for name in ('small-0', 'small-1'):
        assert pings[name] >= share * most, pings
