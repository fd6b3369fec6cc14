"""Errors of the experiments."""

__all__ = ('ExperimentError',)

from zinniaturn.errors import CodedError


class ExperimentError(CodedError):
    """An experiment could not be run."""

    code = 'experiment-failed'
