"""Steps for TLS keys and certificates."""

import asyncio
import os
import shutil
import ssl
import tempfile
from datetime import UTC, datetime, timedelta
from pathlib import Path

import aiohttp
import grpc
import trustme
from behave import given, then, when
from cryptography import x509

from features.support.time_limits import time_limit
from zinniaturn.entry import Entry
from zinniaturn.entry.exceptions import AdminInsecureError
from zinniaturn.membership.domain import Address
from zinniaturn.peers import PeerClient, PeerError
from zinniaturn.settings import EntrySettings
from zinniaturn.standins import StoreStandIn
from zinniaturn.status import find_admins, read_fleet
from zinniaturn.tls import KeyFiles, TlsError, read_key_pair

_LOOPBACK = '127.0.0.1'
_TIMEOUT_SECONDS = 60
_VALIDITY_SHIFT = timedelta(days=2)


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def _make_directory(context):
    path = Path(tempfile.mkdtemp())

    async def remove():
        shutil.rmtree(path)

    context.closers.append(remove)
    return path


def _write_key_files(directory, authority, pair):
    files = KeyFiles(
        str(directory / 'certificate.pem'),
        str(directory / 'key.pem'),
        str(directory / 'authority.pem'),
    )
    pair.cert_chain_pems[0].write_to_path(files.certificate)
    pair.private_key_pem.write_to_path(files.key)
    authority.cert_pem.write_to_path(files.authority)
    return files


def _issue_certificate(authority, **fields):
    return authority.issue_cert(_LOOPBACK, 'entry.example', **fields)


def _serial_number(pem):
    return x509.load_pem_x509_certificate(pem).serial_number


@given('key files with a fault: {fault}')
def make_files(context, fault):
    authority = trustme.CA()
    directory = _make_directory(context)
    now = datetime.now(UTC)
    dates = {
        'the certificate has expired': {'not_after': now - _VALIDITY_SHIFT},
        'the certificate is not yet valid': {
            'not_before': now + _VALIDITY_SHIFT,
        },
    }
    pair = _issue_certificate(authority, **dates.get(fault, {}))
    context.files = _write_key_files(directory, authority, pair)
    match fault:
        case 'the certificate is missing':
            Path(context.files.certificate).unlink()
        case 'the certificate is plain text':
            Path(context.files.certificate).write_text('text')
        case 'the key is plain text':
            Path(context.files.key).write_text('text')
        case 'the key is of another certificate':
            other = _issue_certificate(authority).private_key_pem
            other.write_to_path(context.files.key)


@when('the files are read')
def read_files(context):
    try:
        read_key_pair(context.files)
    except TlsError as error:
        context.error = error
    else:
        raise AssertionError('no error')


@then('it fails with code "{code}" and mentions the file "{name}"')
def check_code(context, code, name):
    assert context.error.code == code, context.error
    assert name in context.error.message, context.error


@then('the message does not contain the key')
def check_secret(context):
    key = Path(context.files.key).read_text().split()
    text = f'{context.error!r} {context.error}'
    assert not any(line in text for line in key if len(line) > 20)


@when('an entry is created with admin host "{host}" and no keys')
def create_entry_without_keys(context, host):
    try:
        Entry(_settings('entry-0', 'http://127.0.0.1:9', admin_host=host))
    except AdminInsecureError as error:
        context.error = error
    else:
        raise AssertionError('no error')


@then('it fails with code "{code}"')
def check_error_code(context, code):
    assert context.error.code == code


def _peer_address(entry):
    table = entry.state.control.table
    return table.me.peers


def _settings(name, store_url, **fields):
    return EntrySettings(
        name=name,
        port=0,
        admin_port=0,
        peer_port=0,
        store_url=store_url,
        address_lifetime_seconds=0.1,
        **fields,
    )


def _key_settings(files):
    return {
        'tls_certificate': files.certificate,
        'tls_key': files.key,
        'tls_authority': files.authority,
        'caller_tls_certificate': files.certificate,
        'caller_tls_key': files.key,
    }


@given("two entries with keys that are each other's peers")
def start_entries(context):
    context.authority = trustme.CA()
    context.files = [
        _write_key_files(
            _make_directory(context),
            context.authority,
            _issue_certificate(context.authority),
        )
        for _ in range(2)
    ]
    context.serial_number = _serial_number(
        Path(context.files[0].certificate).read_bytes()
    )

    async def start():
        store = StoreStandIn()
        await store.start()
        context.closers.append(store.stop)
        context.entries = []
        peers = ''
        for number, files in enumerate(context.files):
            entry = Entry(
                _settings(
                    f'entry-{number}',
                    store.url,
                    peers=peers,
                    **_key_settings(files),
                ),
            )
            await entry.start()
            context.closers.append(entry.stop)
            context.entries.append(entry)
            peers = str(_peer_address(entry))

    _run(context, start())


@then('each entry sees the other as live')
def check_live(context):
    async def wait():
        async with time_limit(_TIMEOUT_SECONDS):
            while not all(
                entry.state.control.live_members() for entry in context.entries
            ):
                await asyncio.sleep(0.05)

    _run(context, wait())


def _client_context(context, number=0):
    files = context.files[number]
    client = ssl.create_default_context(cafile=files.authority)
    client.load_cert_chain(files.certificate, files.key)
    return client


def _run_with_variables(files, make_coroutine, context):
    names = {
        'ZINNIATURN_TLS_CERTIFICATE': files.certificate,
        'ZINNIATURN_TLS_KEY': files.key,
        'ZINNIATURN_TLS_AUTHORITY': files.authority,
    }
    os.environ.update(names)
    try:
        return _run(context, make_coroutine())
    finally:
        for name in names:
            os.environ.pop(name)


@then('an operator with keys reads the status of the first')
def check_operator(context):
    admin = f'{_LOOPBACK}:{context.entries[0].admin_port}'

    async def read():
        return await read_fleet(await find_admins(None, [admin]))

    fleet = _run_with_variables(context.files[1], read, context)
    assert 'entry-0' in {entry.name for entry in fleet.entries}, fleet


@then('an operator without keys is rejected')
def check_operator_without_keys(context):
    port = context.entries[0].admin_port
    plain = ssl.create_default_context(cafile=context.files[0].authority)

    async def get(url, **fields):
        async with aiohttp.ClientSession() as session:
            async with session.get(url, **fields) as response:
                return await response.read()

    for url, fields in (
        (f'http://{_LOOPBACK}:{port}/status', {}),
        (f'https://{_LOOPBACK}:{port}/status', {'ssl': plain}),
    ):
        try:
            body = _run(context, get(url, **fields))
        except aiohttp.ClientError:
            continue
        raise AssertionError(f'answered with {body}')


@then('a peer without keys is rejected')
def check_peer_without_keys(context):
    port = _peer_address(context.entries[0]).port

    async def ask():
        client = PeerClient()
        try:
            await client.read_head(Address(_LOOPBACK, port))
        finally:
            await client.close()

    try:
        _run(context, ask())
    except (PeerError, grpc.RpcError):
        return
    raise AssertionError('answered')


async def _get_status_line(connection):
    reader, writer = connection
    writer.write(b'GET /v1/entries HTTP/1.1\r\nHost: a\r\n\r\n')
    async with time_limit(_TIMEOUT_SECONDS):
        return await reader.readuntil(b'\r\n')


def _connect(context):
    return _run(
        context,
        asyncio.open_connection(
            _LOOPBACK,
            context.entries[0].port,
            ssl=_client_context(context),
        ),
    )


@given('a caller that is connected over TLS')
def connect_caller(context):
    context.connection = _connect(context)
    assert b'200' in _run(context, _get_status_line(context.connection))


@when("the first entry's files are replaced by a new pair and reloaded")
def replace_pair(context):
    pair = _issue_certificate(context.authority)
    directory = Path(context.files[0].certificate).parent
    _write_key_files(directory, context.authority, pair)
    _reload_changed(context)


@when(
    "the first entry's key is replaced by that of another certificate "
    'and reloaded',
)
def replace_key(context):
    key = _issue_certificate(context.authority).private_key_pem
    key.write_to_path(context.files[0].key)
    _reload_changed(context)


def _reload_changed(context):
    _run(context, context.entries[0].tls_contexts.reloader(1).reload_changed())


def _served_serial_number(context):
    plain = ssl.create_default_context(cafile=context.files[0].authority)

    async def connect():
        _, writer = await asyncio.open_connection(
            _LOOPBACK,
            context.entries[0].port,
            ssl=plain,
        )
        certificate = writer.get_extra_info('ssl_object').getpeercert(
            binary_form=True,
        )
        writer.close()
        return x509.load_der_x509_certificate(certificate).serial_number

    return _run(context, connect())


@then('a new connection gets the new certificate')
def check_new_certificate(context):
    written = _serial_number(Path(context.files[0].certificate).read_bytes())
    assert written != context.serial_number
    assert _served_serial_number(context) == written


@then('a new connection gets the old certificate')
def check_old_certificate(context):
    assert _served_serial_number(context) == context.serial_number


@then("the caller's old connection still gets responses")
def check_old_connection(context):
    reader, _ = context.connection

    async def read_rest():
        await reader.readuntil(b'}')

    _run(context, read_rest())
    assert b'200' in _run(context, _get_status_line(context.connection))
