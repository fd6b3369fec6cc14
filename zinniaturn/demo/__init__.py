"""Demonstrates the whole system in one process, with stand-in servers."""

__all__ = ('DemoSummary', 'run_demo')

from zinniaturn.demo.run import run_demo
from zinniaturn.demo.summary import DemoSummary
