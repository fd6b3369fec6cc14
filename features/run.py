"""Runs behave and ends with its true totals on a line of their own."""

import sys

from behave.configuration import Configuration
from behave.model_type import Status
from behave.runner import Runner


def main(paths: list[str]) -> int:
    """Run the features at ``paths`` and return the exit status."""
    configuration = Configuration(
        [
            '--no-capture',
            '--logging-level',
            'ERROR',
            '--format',
            'progress',
            *paths,
        ]
    )
    runner = Runner(configuration)
    failed = runner.run()
    scenarios = [
        scenario
        for feature in runner.features
        for scenario in feature.walk_scenarios()
    ]
    passed = sum(scenario.status == Status.passed for scenario in scenarios)
    skipped = sum(
        scenario.status in {Status.skipped, Status.untested}
        for scenario in scenarios
    )
    failures = len(scenarios) - passed - skipped
    print(f'scenarios: {passed} passed, {failures} failed, {skipped} skipped')
    return int(bool(failed or failures or not passed))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
