"""Read the list of scenarios known to fail from ``KNOWN-RED.txt``."""

from pathlib import Path

FILE_NAME = 'KNOWN-RED.txt'

_SCENARIO_PREFIX = 'scenario: '


def read_known_red(path):
    """
    Return the names of the scenarios that the file lists.

    An entry has a line ``scenario: features/x.feature: the scenario's name``;
    its other lines are notes for readers.
    """
    known_red_file = Path(path)
    if not known_red_file.exists():
        return frozenset()
    lines = known_red_file.read_text('utf-8').splitlines()
    return frozenset(
        line.removeprefix(_SCENARIO_PREFIX).strip()
        for line in lines
        if line.startswith(_SCENARIO_PREFIX)
    )
