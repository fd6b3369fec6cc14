"""The whole path in one process, for newcomers."""

__all__ = ('DemoSummary', 'run_demo')

from zinniaturn.demo.run import run_demo
from zinniaturn.demo.summary import DemoSummary
