"""Steps that give parsers whatever may come from outside."""

import contextlib
import json
import tempfile
from pathlib import Path

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from zinniaturn.configuration.head import decode_head
from zinniaturn.configuration.segments import (
    decode_segment,
    digest_of,
    unpack,
)
from zinniaturn.entry.targets import parse_target
from zinniaturn.errors import CodedError
from zinniaturn.forwarding.load_reports import parse_load_report
from zinniaturn.peers import messages_pb2 as wire
from zinniaturn.peers.bulletin import decode_bulletin
from zinniaturn.settings import EntrySettings, check_settings
from zinniaturn.tables import decode_tables, parse_pools, parse_routes
from zinniaturn.tls import KeyFiles, read_key_pair

_EXAMPLES = 150
_CORPUS = Path('features/corpus')
_GOOD_SETTINGS = (('name', 'entry-0'), ('store_url', 'http://127.0.0.1:9'))

_YAML_PARTS = st.sampled_from(
    [
        'pools:',
        'routes:',
        '\n',
        '  ',
        '- ',
        'name: a',
        'servers: ',
        'pool: a',
        'host: "127.0.0.1"',
        'port: 1',
        'slots: 4',
        '[',
        ']',
        '{',
        '}',
        '&x ',
        '*x',
        '<<: ',
        '!!binary ',
        '!!python/object:os.system ',
        '? ',
        '| ',
        '1e999',
        '2001-01-01',
        '.nan',
        '0x_',
        '\t',
        '#',
        ': ',
        ',',
    ],
)
_YAML = st.one_of(
    st.text(max_size=60),
    st.lists(_YAML_PARTS, max_size=14).map(''.join),
)
_JSON_PARTS = st.sampled_from(
    [
        '{',
        '}',
        '[',
        ']',
        ',',
        ':',
        '"revision"',
        '"segments"',
        '"routes"',
        '"pools"',
        '"chain"',
        '1',
        '-1',
        '1e400',
        'null',
        'true',
        '""',
        r'"\ud800"',
        '"a"',
        'NaN',
    ],
)
_JSON = st.one_of(
    st.text(max_size=60),
    st.sampled_from(['\ud800', '"\ud800"', '{"revision": "\udfff"}']),
    st.lists(_JSON_PARTS, max_size=14).map(''.join),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(['revision', 'segments', 'routes', 'name']),
                inner,
                max_size=3,
            )
        ),
        max_leaves=8,
    ).map(json.dumps),
)
_REPORT_PARTS = st.sampled_from(
    [
        'busy=',
        'queued=',
        'slots=',
        '1',
        '0',
        '-1',
        ', ',
        ',',
        '=',
        '٣',
        '9' * 12,
    ],
)
_REPORTS = st.one_of(
    st.text(max_size=40),
    st.lists(_REPORT_PARTS, max_size=10).map(''.join),
)
_TARGET_PARTS = st.sampled_from(
    [
        '/',
        '//',
        'http://',
        'a',
        ':',
        '@',
        '?',
        '#',
        '%',
        '%2f',
        '..',
        '[::1',
        '*',
    ],
)
_TARGETS = st.one_of(
    st.text(max_size=40),
    st.lists(_TARGET_PARTS, max_size=8).map(''.join),
)


def _parse_bulletin(data):
    message = wire.Bulletin()
    try:
        message.ParseFromString(data)
    except Exception as error:
        # The library refuses these before the entry sees a message.
        assert type(error).__name__ == 'DecodeError', error
        return
    decode_bulletin(message)


def _parse_setting(text):
    for field in EntrySettings.model_fields:
        given_settings = {**dict(_GOOD_SETTINGS), field: text}
        with contextlib.suppress(CodedError):
            check_settings(EntrySettings, given_settings)


def _parse_certificate(data):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / 'file.pem'
        path.write_bytes(data)
        read_key_pair(KeyFiles(str(path), str(path), str(path)))


_PEM = st.one_of(
    st.binary(max_size=60),
    st.binary(max_size=30).map(
        lambda data: (
            b'-----BEGIN CERTIFICATE-----\n'
            + data
            + b'\n-----END CERTIFICATE-----\n'
        ),
    ),
)


def _inputs():
    return {
        'pool file': (_YAML, lambda text: parse_pools(text, 'pools.yaml')),
        'route file': (_YAML, lambda text: parse_routes(text, 'routes.yaml')),
        'stored head': (_JSON, decode_head),
        'stored segment': (
            _JSON,
            lambda text: decode_segment(text, digest_of(text)),
        ),
        'packed segment': (_JSON, unpack),
        'stored tables': (_JSON, decode_tables),
        'peer bulletin': (st.binary(max_size=80), _parse_bulletin),
        'load report': (
            _REPORTS,
            lambda text: parse_load_report({'Server-Load': text}),
        ),
        'request target': (
            st.tuples(_TARGETS, _TARGETS),
            lambda pair: parse_target(*pair),
        ),
        'setting': (_TARGETS, _parse_setting),
        'certificate': (_PEM, _parse_certificate),
    }


def _corpus(name, kind):
    directory = _CORPUS / name.replace(' ', '-')
    for path in sorted(directory.glob('*')):
        data = path.read_bytes()
        yield data if kind == 'bytes' else data.decode('utf-8')


@then('parsing any {name} returns or fails with a coded error')
def check_parser(context, name):
    strategy, parse = _inputs()[name]

    def check(value):
        try:
            parse(value)
        except CodedError as error:
            assert error.code and error.message

    kind = 'bytes' if name in {'peer bulletin', 'certificate'} else 'text'
    for value in _corpus(name, kind):
        check(value)
    fuzzed = settings(
        max_examples=_EXAMPLES,
        derandomize=True,
        deadline=None,
    )(given(strategy)(check))
    fuzzed()
