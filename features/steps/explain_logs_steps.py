"""Steps for explaining requests and servers from gateway logs."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from types import MappingProxyType

from behave import given, then, when

from zinniaturn.experiments.soak.vms import VmPorts, build_settings

_REQUEST = MappingProxyType(
    {
        'event': 710,
        'message': "a caller's request has ended",
        'route': 'posts',
        'pool': 'pool',
        'outcome': 'answered',
        'status': 200,
        'milliseconds': 120.0,
        'waited_ms': 4.0,
        'servers': ['s-1'],
        'probed': 5,
        'load': [0, 0, 4, 1.0],
        'expected_ms': 100.0,
        'detail': '',
        'state_age_ms': 300,
    }
)


def _row(time, vm, **fields):
    return {'time': time, 'vm': vm, **fields}


def _request(time, vm, name, **fields):
    return _row(time, vm, **{**_REQUEST, 'request': name, **fields})


def _write(context, name, rows, between=''):
    path = Path(context.folder) / name
    text = ''.join(f'{between}{json.dumps(row)}\n' for row in rows)
    path.write_text(text)
    context.logs.append(path)


@given('logs of two VMs')
def write_logs(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    context.logs = []
    changed = {'event': 722, 'message': 'changed', 'revision': 5}
    limited = [
        _row(
            99.5,
            'vm-1',
            event=731,
            message='said',
            server='s-9',
            limit=1.9,
            leaving=False,
            source='vm-2',
            age_ms=40,
        ),
        _request(
            100.0,
            'vm-1',
            'limited',
            withheld=['s-9: limit 1.9/s', 's-5: leaving'],
        ),
    ]
    path_lost = _row(
        129.0,
        'vm-1',
        event=752,
        message='lost',
        pool='pool',
        responds_to=['vm-2'],
    )
    passed_on = _request(
        130.0, 'vm-1', 'passed', passed_to=['vm-2'], servers=['s-4']
    )
    taken = _request(
        129.9, 'vm-2', 'passed', taken_from='vm-1', servers=['s-4']
    )
    first = [
        *limited,
        _row(95.0, 'vm-1', **changed, joined=[], leaving=['s-8'], gone=[]),
        _row(99.0, 'vm-1', **changed, joined=[], leaving=['s-7'], gone=[]),
        _request(
            102.0,
            'vm-1',
            'refused',
            outcome='no-server: not-run',
            status=503,
            waited_ms=392.9,
            milliseconds=392.9,
            servers=[],
            probed=11,
            load=None,
            expected_ms=0,
            detail='no server is free in time',
        ),
        _request(
            110.0,
            'vm-1',
            'lost',
            outcome='connection-lost: unknown',
            status=502,
            servers=['s-3'],
            detail='s-3: reset by peer',
        ),
        path_lost,
        passed_on,
    ]
    second = [
        _row(
            109.0,
            'vm-2',
            event=730,
            message='out',
            server='s-3',
            pool='pool',
            reason='reset by peer',
        ),
        _request(120.0, 'vm-2', 'late', milliseconds=900.0),
        taken,
    ]
    _write(context, 'vm-1.log', first)
    _write(context, 'vm-2.log', second)


@given('a log that also has other lines')
def write_mixed(context):
    path = context.logs[1]
    lines = path.read_text().splitlines()
    mixed = [
        'started',
        '{"not": "an event"}',
        '{"cut": ',
        *(f'  33.98 vm-2 {line}' for line in lines),
    ]
    path.write_text('\n'.join(mixed))


@given('{kind} gateway settings')
def write_settings(context, kind):
    text = json.dumps(
        build_settings('127.0.0.1', 'vm-1', 1, VmPorts(1, 2, 3, 4))
    )
    path = Path(context.folder) / 'settings.json'
    path.write_text(text if kind == 'good' else text[:40])
    context.settings = path


@when('"{subject}" is explained from the logs')
def explain(context, subject):
    kind, _, name = subject.partition(' ')
    logs = [word for path in context.logs for word in ('--logs', str(path))]
    _run(context, 'explain', kind, name, *logs)


@when('the operator checks them')
def check_settings(context):
    _run(context, 'gateway', '--check', '--settings', str(context.settings))


def _run(context, *arguments):
    context.finished = subprocess.run(
        [sys.executable, '-m', 'zinniaturn', *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


@then('it says "{text}"')
def check_said(context, text):
    assert text in context.finished.stdout, context.finished
    assert context.finished.returncode == 0


@then('it says nothing of "{text}"')
def check_unsaid(context, text):
    assert text not in context.finished.stdout


@then('the status is {status:d}')
def check_only_status(context, status):
    assert context.finished.returncode == status


@then('the status is {status:d} and it says "{text}"')
def check_status_and_text(context, status, text):
    finished = context.finished
    assert finished.returncode == status, finished
    assert text in finished.stdout + finished.stderr
