"""Steps for the gateway's memory use and loaded modules."""

import json
import subprocess
import sys

from behave import then, when

_LOAD = (
    'import sys; sys.modules["ssl"] = None\n'
    'import zinniaturn.platform.running\n'
    'print(*[name for name, module in sys.modules.items() if module])'
)


def _run(*arguments):
    return subprocess.run(
        [sys.executable, *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


@when("the gateway's modules are loaded")
def load(context):
    finished = _run('-S', '-c', _with_path())
    context.modules = set(finished.stdout.split())
    assert 'zinniaturn.gateway.process' in context.modules, finished


def _with_path():
    """Return the program with this process's sys.path, which -S omits."""
    return f'import sys; sys.path[:] = {sys.path!r}\n{_LOAD}'


@when('the experiment "{name}" is run')
def run_experiment(context, name):
    finished = _run('-m', 'zinniaturn', 'experiment', 'run', name, '--json')
    context.figures = json.loads(finished.stdout.splitlines()[-1])


@then('none of "{module_names}" is loaded')
def check_modules(context, module_names):
    assert not context.modules & set(module_names.split())


@then('the peak is under {megabytes:d} MB and requests were served')
def check_peak(context, megabytes):
    assert 0 < context.figures['peak_megabytes'] < megabytes
    assert context.figures['requests'] > 0
