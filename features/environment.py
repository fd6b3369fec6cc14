"""Hooks that behave calls around scenarios."""

import asyncio
import shutil


def before_scenario(context, scenario):
    """Give each scenario a loop of its own."""
    if 'needs_compiler' in scenario.tags and shutil.which('cc') is None:
        scenario.skip('there is no C compiler')
    context.loop = asyncio.new_event_loop()
    context.closers = []


def after_scenario(context, scenario):
    """Close what the scenario opened, the last first."""
    for close in reversed(context.closers):
        context.loop.run_until_complete(close())
    context.loop.run_until_complete(context.loop.shutdown_asyncgens())
    context.loop.close()
