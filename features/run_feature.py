"""
Run one feature file and print its results as JSON on the last line.

`features.run` starts a process for each file, so that features share no state.
"""

import json
import sys

from behave.configuration import Configuration
from behave.model_type import Status
from behave.runner import Runner

_SKIPPED = frozenset((Status.skipped, Status.untested))


def main(path):
    """Run the feature and print the result of each scenario."""
    configuration = Configuration(
        [
            '--no-capture',
            '--no-summary',
            '--logging-level',
            'ERROR',
            '--format',
            'plain',
            '--no-timings',
            path,
        ]
    )
    runner = Runner(configuration)
    runner.run()
    results = [
        (f'{path}: {scenario.name.strip()}', _verdict(scenario.status))
        for feature in runner.features
        for scenario in feature.walk_scenarios()
    ]
    print()
    print(json.dumps(results))


def _verdict(status):
    if status == Status.passed:
        return 'passed'
    return 'skipped' if status in _SKIPPED else 'failed'


if __name__ == '__main__':
    main(sys.argv[1])
