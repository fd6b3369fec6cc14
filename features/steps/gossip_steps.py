"""Steps of the gossip between VMs."""

from behave import given, then, when

from zinniaturn.experiments.gossip_model import GossipModel
from zinniaturn.fleet.vms import serving_vms

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
