"""Errors of the experiments."""

__all__ = ('ExperimentError', 'PlotsUnavailableError')

from zinniaturn.errors import CodedError


class ExperimentError(CodedError):
    """An experiment could not be run."""

    code = 'experiment-failed'


class PlotsUnavailableError(ExperimentError):
    """Plots cannot be drawn by this build of the program."""

    code = 'plots-unavailable'
