"""Experiments: open-loop load against real processes with stand-ins."""

__all__ = ('Experiment', 'experiments')

from zinniaturn.experiments.registry import Experiment, experiments
