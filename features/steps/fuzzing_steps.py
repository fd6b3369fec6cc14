"""Steps that run parsers of external input on generated cases."""

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

_MAX_EXAMPLES = 150
_CORPUS_FOLDER = Path('features/corpus')
_VALID_SETTINGS = (('name', 'entry-0'), ('store_url', 'http://127.0.0.1:9'))

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
_LOAD_REPORT_PARTS = st.sampled_from(
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
_LOAD_REPORTS = st.one_of(
    st.text(max_size=40),
    st.lists(_LOAD_REPORT_PARTS, max_size=10).map(''.join),
)
_REQUEST_TARGET_PARTS = st.sampled_from(
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
_REQUEST_TARGETS = st.one_of(
    st.text(max_size=40),
    st.lists(_REQUEST_TARGET_PARTS, max_size=8).map(''.join),
)


def _parse_bulletin(message_bytes):
    message = wire.Bulletin()
    try:
        message.ParseFromString(message_bytes)
    except Exception as error:
        # The protobuf library rejects these before the entry gets a message.
        assert type(error).__name__ == 'DecodeError', error
        return
    decode_bulletin(message)


def _parse_setting(text):
    for field in EntrySettings.model_fields:
        tested_settings = {**dict(_VALID_SETTINGS), field: text}
        with contextlib.suppress(CodedError):
            check_settings(EntrySettings, tested_settings)


def _parse_certificate(file_bytes):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / 'file.pem'
        path.write_bytes(file_bytes)
        read_key_pair(KeyFiles(str(path), str(path), str(path)))


_CERTIFICATE_FILES = st.one_of(
    st.binary(max_size=60),
    st.binary(max_size=30).map(
        lambda file_bytes: (
            b'-----BEGIN CERTIFICATE-----\n'
            + file_bytes
            + b'\n-----END CERTIFICATE-----\n'
        ),
    ),
)


def _strategies_and_parsers():
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
            _LOAD_REPORTS,
            lambda text: parse_load_report({'Server-Load': text}),
        ),
        'request target': (
            st.tuples(_REQUEST_TARGETS, _REQUEST_TARGETS),
            lambda pair: parse_target(*pair),
        ),
        'setting': (_REQUEST_TARGETS, _parse_setting),
        'certificate': (_CERTIFICATE_FILES, _parse_certificate),
    }


def _read_corpus(name, content_type):
    directory = _CORPUS_FOLDER / name.replace(' ', '-')
    for path in sorted(directory.glob('*')):
        file_bytes = path.read_bytes()
        yield (
            file_bytes
            if content_type == 'bytes'
            else file_bytes.decode('utf-8')
        )


@then('parsing any {name} returns or raises a coded error')
def check_parser(context, name):
    strategy, parse = _strategies_and_parsers()[name]

    def check(value):
        try:
            parse(value)
        except CodedError as error:
            assert error.code and error.message

    content_type = (
        'bytes' if name in {'peer bulletin', 'certificate'} else 'text'
    )
    for value in _read_corpus(name, content_type):
        check(value)
    run_generated_cases = settings(
        max_examples=_MAX_EXAMPLES,
        derandomize=True,
        deadline=None,
    )(given(strategy)(check))
    run_generated_cases()
