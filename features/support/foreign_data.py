"""Strategies for data that other programs may have written."""

import json

import msgspec
from hypothesis import strategies as st

from features.support.gateway import build_config
from features.support.tenants import build_tenant_config
from zinniaturn.platform.standins.wire import build_settings_document

_DEPTHS = (3, 300, 1_200, 100_000)
_HUGE = 10**30

_NUMBERS = st.one_of(
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from(
        (0, -1, 65_535, 65_536, 2**31, 2**63, 2**64, _HUGE, -_HUGE, 1e308)
    ),
)
_TEXTS = st.one_of(
    st.text(max_size=20),
    st.sampled_from(
        (
            '',
            ' ',
            'x' * 3000,
            'a\r\nX-Forged: 1',
            '\ud800'.encode('utf-8', 'replace').decode(),
            '10.0.0.1:99999',
            f'10.0.0.1:{"9" * 5000}',
            'nowhere.example:80',
            '..:80',
            '[::1]:80',
            '٣:٣',
        )
    ),
)
ODD_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), _NUMBERS, _TEXTS),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=5), inner, max_size=3),
    ),
    max_leaves=6,
)


def _unended_lists(depth):
    return b'{"trace":%b' % (b'[' * depth)


def _nested_lists(depth):
    return b'{"a":%b%b}' % (b'[' * depth, b']' * depth)


_BROKEN = st.one_of(
    st.binary(max_size=40),
    st.sampled_from(
        (
            b'',
            b'null',
            b'{',
            b'\xff\xfe',
            b'1e999',
            json.dumps('\ud800').encode(),
            b'9' * 5000,
        )
    ),
    st.sampled_from(_DEPTHS).map(_unended_lists),
    st.sampled_from(_DEPTHS).map(_nested_lists),
)


def _replaced(document, path, value):
    """Return a copy of a document with one place replaced, or added."""
    copy = json.loads(json.dumps(document))
    target = copy
    for step in path[:-1]:
        target = target[step]
    target[path[-1]] = value
    return copy


def _paths(document, prefix=()):
    """Return the paths to all places of a document."""
    pairs = ()
    if isinstance(document, dict):
        pairs = document.items()
    elif isinstance(document, list):
        pairs = enumerate(document)
    found = []
    for step, value in pairs:
        found.append((*prefix, step))
        found.extend(_paths(value, (*prefix, step)))
    return found


def _with_nested(document, depth):
    """Return a document as JSON, with nested lists in place of "@"."""
    nested = '[' * depth, ']' * depth
    return json.dumps(document).replace('"@"', ''.join(nested))


def changed_documents(document):
    """Return a strategy for a document with odd values, as JSON bytes."""
    paths = _paths(document)
    one_change = st.builds(
        lambda path, value: _replaced(document, path, value),
        st.sampled_from(paths),
        ODD_VALUES,
    )
    nested = st.builds(
        lambda path, depth: _with_nested(_replaced(document, path, '@'), depth),
        st.sampled_from(paths),
        st.sampled_from(_DEPTHS),
    )
    return st.one_of(
        one_change.map(json.dumps).map(str.encode),
        nested.map(str.encode),
        _BROKEN,
    )


def server_entry():
    """Return a sound entry of a backend server."""
    return {
        'service': 'pool',
        'address': '10.0.0.3:9000',
        'zone': 'dc-a',
        'version': 'v1',
        'capacity': 4,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': 1,
        'born': 1,
    }


def vm_record():
    """Return a sound record of a VM, as it lies in the store."""
    return {
        'name': 'vm-odd',
        'data_center': 'dc-a',
        'front': '10.0.0.9:8000',
        'exchange': ['10.0.0.9', 7000],
        'capacity': 50,
        'fleet_size': 3,
    }


def held_request():
    """Return a sound record of a held request."""
    return {
        'key': '0f' * 8,
        'crashes': [
            {
                'server': 's-1',
                'started_ms': 1,
                'ended_ms': 2,
                'witnesses': ['vm-1', 'vm-2'],
            }
        ],
    }


def documents():
    """Return a strategy for the operator's document."""
    return st.one_of(
        changed_documents(build_config(max_body_bytes=1000)),
        changed_documents(build_tenant_config()),
    )


def settings_files():
    """Return a strategy for a settings file."""
    listen = {'front': 8641, 'readiness': 8640, 'directory': 8644}
    document = build_settings_document('10.0.0.1', 'vm-1', 8642, listen, 7620)
    bounds = {
        'grace_s': 6,
        'drain_ms': 2000,
        'probes_per_s': 60,
        'fail_closed': True,
        'revoke_ms': 5000,
    }
    limits = {'cpu_share': 0.5, 'link_mbps': 10}
    return changed_documents({**document, 'bounds': bounds, 'limits': limits})


def store_replies():
    """Return a strategy for a page of the store's items."""
    item = {
        'key': 'servers/s-1',
        'value': 'e30=',
        'revision': 5,
        'created_rev': 1,
        'lease': 0,
    }
    page = {'items': [item], 'more_pages': False, 'current_rev': 7}
    return changed_documents(page)


def changed_messages(raw):
    """Return a strategy for a MessagePack message with odd values."""
    message = msgspec.msgpack.decode(raw)
    values = st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(2**63), 2**64 - 1),
        st.floats(),
        st.text(max_size=5),
        st.binary(max_size=5),
        st.sampled_from(('x' * 3000, '\r\n', [], [[]], {}, 2**64 - 1)),
    )
    changed = st.builds(
        lambda path, value: msgspec.msgpack.encode(
            _replaced_in_place(raw, path, value)
        ),
        st.sampled_from(_paths(message)),
        values,
    )
    nested = st.sampled_from(_DEPTHS).map(lambda depth: b'\x91' * depth)
    return st.one_of(changed, nested, st.binary(max_size=40))


def _replaced_in_place(raw, path, value):
    message = msgspec.msgpack.decode(raw)
    target = message
    for step in path[:-1]:
        target = target[step]
    target[path[-1]] = value
    return message


def odd_datagram(random_source, raw):
    """Return a datagram with some of its bytes or values changed."""
    if random_source.random() < 0.3:
        changed = bytearray(raw)
        for _ in range(random_source.randint(1, 4)):
            place = random_source.randrange(len(changed))
            changed[place] = random_source.randrange(256)
        return bytes(changed)
    message = msgspec.msgpack.decode(raw)
    path = random_source.choice(_paths(message))
    value = random_source.choice(
        (None, -1, 0, 2**63, 2**64 - 1, 1e308, '', 'x' * 3000, b'', [], {})
    )
    return msgspec.msgpack.encode(_replaced_in_place(raw, path, value))
