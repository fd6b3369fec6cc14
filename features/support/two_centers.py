"""Servers in two data centres, and gateways that follow evacuations or not."""

from features.support.cut_links import add_cut_gateway
from features.support.gateway import build_config, build_route_row
from zinniaturn.fleet.evacuations import EvacuationsNews
from zinniaturn.fleet.revisions import join_revision
from zinniaturn.platform.standins import ServerStandIn

EVACUATE_SECONDS = 5
FOLLOWERS = ('vm-1', 'vm-2')
# By rank they come before the others, so that they read the store first.
OTHERS = ('old-2', 'old-6')
_WORK_SECONDS = 0.03
_ROUTES = (('reads', 'idempotent'), ('posts', 'non_idempotent'))
_CENTERS = ('dc-a', 'dc-a', 'dc-b', 'dc-b')


async def start_servers(platform):
    """Start two servers in each data centre, behind proxies."""
    # A request may wait for as long as its route lets it.
    rows = [
        build_route_row(name, f'/{name}/', kind, target_ms=1000)
        for name, kind in _ROUTES
    ]
    await platform.start([], build_config(rows))
    for number, data_center in enumerate(_CENTERS, 1):
        await platform.add_proxied_server(
            ServerStandIn(
                name=f's-{number}',
                data_center=data_center,
                work_seconds=_WORK_SECONDS,
                echoes_request_id=True,
            )
        )


async def add_gateways(context, names, bound_seconds):
    """Start gateways and return them; with a bound of 0 they don't follow."""
    return [
        await add_cut_gateway(context, name, evacuate_seconds=bound_seconds)
        for name in names
    ]


def evacuate(platform, name):
    """Evacuate a data centre; return what tells a gateway at once."""
    store = platform.store
    store.write(f'op/evacuate/{name}', {})
    revision = join_revision(store.era, store.revision)

    def news(gateway):
        clock = gateway.fleet_state.clock
        names = gateway.fleet_state.evacuations.names | {name}
        return EvacuationsNews(names, revision, clock.monotonic())

    return news


def take_back(platform, name):
    """End the evacuation of a data centre."""
    platform.store.remove(f'op/evacuate/{name}')


def _servers(platform, name):
    return [one for one in platform.servers if one.data_center == name]


def arrivals_at(platform, name):
    """Return how many requests have arrived in a data centre."""
    return sum(server.arrivals for server in _servers(platform, name))


def probes_at(platform, name):
    """Return how many probes have arrived in a data centre."""
    return sum(server.probed for server in _servers(platform, name))


def run_ids_at(platform, name):
    """Return the ids of the requests that a data centre's servers ran."""
    return {
        request_id
        for server in _servers(platform, name)
        for request_id in server.runs
    }
