"""Planned work on real gateway processes, and the requests that it cuts off."""

__all__ = ('run_planned',)

from zinniaturn.experiments.planned.run import run_planned
