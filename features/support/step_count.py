"""Counts the steps that the gateway's own code takes for a request."""

import sys

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


def fewest_steps(call, count):
    """
    Return the fewest steps that a call takes.

    Background tasks add steps to the others, more on a busy machine.
    """
    steps = []
    for _ in range(count):
        counter = StepCounter()
        with counter:
            call()
        steps.append(counter.steps)
    return min(steps)
