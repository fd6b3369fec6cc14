"""Counts the steps that the gateway's own code takes for a request."""

import sys
from statistics import median

_COUNTED_FOLDERS = (
    '/zinniaturn/choosing/',
    '/zinniaturn/fleet/',
    '/zinniaturn/gateway/',
    '/zinniaturn/placing/',
    '/zinniaturn/platform/wire_format.py',
    '/zinniaturn/quarantine/',
    '/zinniaturn/tables/',
    '/zinniaturn/tenants/',
)


class StepCounter:
    """Counts the instructions run in the counted folders; a context manager."""

    def __init__(self):
        self.steps = 0

    def __enter__(self):
        sys.settrace(self._on_call)
        return self

    def __exit__(self, error_type, error, traceback):
        sys.settrace(None)

    def _on_call(self, frame, event, argument):
        if not any(
            name in frame.f_code.co_filename for name in _COUNTED_FOLDERS
        ):
            return None
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        return self._on_step

    def _on_step(self, frame, event, argument):
        self.steps += event == 'opcode'
        return self._on_step


def median_steps(call, count):
    """Return the median of the steps that a call takes."""
    steps = []
    for _ in range(count):
        counter = StepCounter()
        with counter:
            call()
        steps.append(counter.steps)
    return median(steps)
