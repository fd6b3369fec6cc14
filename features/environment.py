"""Hooks that behave runs before and after each scenario."""

import asyncio
import shutil


def before_scenario(context, scenario):
    """Create an event loop; skip a scenario whose compiler is missing."""
    if 'needs_compiler' in scenario.tags and shutil.which('cc') is None:
        scenario.skip('there is no C compiler')
    context.loop = asyncio.new_event_loop()
    context.closers = []


def after_scenario(context, scenario):
    """Close the scenario's resources in reverse order, then its loop."""
    for close in reversed(context.closers):
        context.loop.run_until_complete(close())
    context.loop.run_until_complete(context.loop.shutdown_asyncgens())
    context.loop.close()
