"""Experiments: open-loop load on real processes and simulated services."""

__all__ = ('Experiment', 'experiments')

from zinniaturn.experiments.registry import Experiment, experiments
