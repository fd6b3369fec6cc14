"""Exceptions raised by the experiments."""

__all__ = ('ExperimentError', 'PlotsUnavailableError')

from zinniaturn.errors import CodedError


class ExperimentError(CodedError):
    """An experiment could not be run."""

    code = 'experiment-failed'


class PlotsUnavailableError(ExperimentError):
    """Plots are not supported by this build of the program."""

    code = 'plots-unavailable'
