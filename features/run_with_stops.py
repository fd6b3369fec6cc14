"""
Run a scenario again and again while its process is stopped at random.

A process that stands still for a moment finds everything due at once, which
shows what elapsed time alone decides:

    python -m features.run_with_stops features/x.feature "a scenario" --seed 1
"""

import random
import signal
import subprocess
import sys
import tempfile
import time

import click

_START_SECONDS = 1.0
_LONGEST_RUN_SECONDS = 0.25
_STOP_SECONDS = (0.05, 0.1, 0.2)


@click.command()
@click.argument('feature')
@click.argument('scenario')
@click.option('--runs', default=30, help='How often the scenario is run.')
@click.option('--seed', default=1, help='Seed of the times of the stops.')
def main(feature, scenario, runs, seed):
    """Print the failed assertions, and how many of the runs failed."""
    source = random.Random(seed)
    failed = 0
    for number in range(runs):
        output, status = _run_once(feature, scenario, source)
        if status:
            failed += 1
            click.echo(f'run {number}: {_failure(output)}')
    click.echo(f'{failed} of {runs} runs failed')
    sys.exit(bool(failed))


def _run_once(feature, scenario, source):
    with tempfile.TemporaryFile('w+') as output:
        process = subprocess.Popen(
            [sys.executable, '-m', 'behave', feature, '-n', scenario],
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        time.sleep(_START_SECONDS)
        while process.poll() is None:
            time.sleep(source.uniform(0, _LONGEST_RUN_SECONDS))
            process.send_signal(signal.SIGSTOP)
            time.sleep(source.choice(_STOP_SECONDS))
            process.send_signal(signal.SIGCONT)
        output.seek(0)
        return output.read(), process.returncode


def _failure(output):
    lines = [line.strip() for line in output.splitlines() if 'Error' in line]
    asserts = [line for line in output.splitlines() if 'ASSERT' in line]
    return (asserts or lines or ['no message'])[0].strip()


if __name__ == '__main__':
    main()
