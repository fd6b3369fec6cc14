"""``zinniaturn entry``."""

__all__ = ('entry',)

import asyncio

import click

from zinniaturn.entry import run_entry
from zinniaturn.entry.loops import loop_factory
from zinniaturn.events import configure_logging
from zinniaturn.settings import EntrySettings, check_settings
from zinniaturn.settings.checking import flag_of, variable_of


def _options(command: click.Command) -> click.Command:
    for name, field in reversed(EntrySettings.model_fields.items()):
        option = click.Option(
            [flag_of(name)],
            envvar=variable_of(name),
            default=None,
            help=field.description,
        )
        command.params.insert(0, option)
    return command


@_options
@click.command()
def entry(**given: str | None) -> None:
    """Run the process of an entry VM."""
    stated = {name: text for name, text in given.items() if text is not None}
    settings = check_settings(EntrySettings, stated)
    configure_logging(settings.log_level, settings.name)
    with asyncio.Runner(
        loop_factory=loop_factory(settings.event_loop),
    ) as runner:
        runner.run(run_entry(settings))
