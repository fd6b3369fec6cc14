"""
Compute the sizes of peer messages and stored values in a large fleet.

The values are built in memory; no process is started. Run it as
``python -m zinniaturn.experiments.speed.messages``.
"""

__all__ = ('main',)

import json

from zinniaturn.configuration.head import ChainPosition
from zinniaturn.configuration.segments import encode_segment, split_tables
from zinniaturn.membership.domain import Address, Heartbeat, Member
from zinniaturn.peers import Bulletin
from zinniaturn.peers import messages_pb2 as wire
from zinniaturn.peers.bulletin import NamedHeartbeat, encode_bulletin
from zinniaturn.peers.gossip import MAX_HEARTBEATS
from zinniaturn.tables import Pool, Route, Server, Tables

_POOL_COUNT = 1800
_SERVERS_PER_POOL = 14
_CHAIN_DIGEST = '0' * 64


def main() -> None:
    """Print the sizes in bytes as one JSON object."""
    segment_texts = [
        encode_segment(rows) for rows in split_tables(_build_tables()).values()
    ]
    segment_sizes = [len(text) for text in segment_texts]
    print(
        json.dumps(
            {
                'bulletin_bytes': len(_build_bulletin().SerializeToString()),
                'segments': len(segment_sizes),
                'segments_bytes': sum(segment_sizes),
                'largest_segment_bytes': max(segment_sizes),
            },
        ),
    )


def _build_bulletin() -> wire.Bulletin:
    address = Address('10.200.200.200', 65_000)
    heartbeat = Heartbeat(1_790_000_000_000, count=1_000_000)
    name = 'entry-region-1-dc-2-vm-117'
    member = Member(
        name=name,
        callers=address,
        peers=address,
        admin=address,
        data_center='region-1-dc-2',
        vm=name,
        heartbeat=heartbeat,
    )
    return encode_bulletin(
        Bulletin(
            member,
            ChainPosition(1_000_000, _CHAIN_DIGEST),
            1,
            tuple(
                NamedHeartbeat(f'{name}{number}', heartbeat)
                for number in range(MAX_HEARTBEATS)
            ),
        ),
    )


def _build_tables() -> Tables:
    names = [f'service-{number}' for number in range(_POOL_COUNT)]
    pools = {
        name: Pool(
            name,
            tuple(
                Server(f'{name}-{number}', f'10.1.2.{number}', 8080, 4, 'dc-2')
                for number in range(_SERVERS_PER_POOL)
            ),
        )
        for name in names
    }
    routes = {name: Route(name, name, path_prefix=f'/{name}') for name in names}
    return Tables(1, routes, pools)


if __name__ == '__main__':
    main()
