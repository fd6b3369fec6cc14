"""Implements ``zinniaturn entry``, which runs an entry process."""

__all__ = ('entry',)

import asyncio
import os
import sys

import click
from click.types import OptionHelpExtra

from zinniaturn.commands.exit_status import ExitStatus
from zinniaturn.commands.options import AUTHOR_VARIABLE
from zinniaturn.entry import run_entry
from zinniaturn.entry.event_loops import loop_factory
from zinniaturn.events import LogEvent, configure_logging, log_event
from zinniaturn.settings import EntrySettings, check_settings
from zinniaturn.settings.checking import (
    VARIABLE_PREFIX,
    allowed_text,
    flag_of,
    unknown_variables,
    variable_of,
)


class _SettingOption(click.Option):
    """The flag of a settings field; the pydantic model checks its value."""

    def __init__(self, field: str) -> None:
        info = EntrySettings.model_fields[field]
        allowed = allowed_text(EntrySettings, field)
        super().__init__(
            [flag_of(field)],
            envvar=variable_of(field),
            show_envvar=True,
            metavar=field.upper(),
            help=f'{info.description} Allowed: {allowed}.',
        )
        self.info = info

    def get_help_extra(self, ctx: click.Context) -> OptionHelpExtra:
        """Return the notes after the help text, with the model's default."""
        extra = super().get_help_extra(ctx)
        if self.info.is_required():
            extra['required'] = 'required'
        elif self.info.default not in {None, ''}:
            extra['default'] = str(self.info.default)
        return extra


def _add_setting_options(command: click.Command) -> click.Command:
    settings = [_SettingOption(name) for name in EntrySettings.model_fields]
    command.params = [*settings, *command.params]
    return command


@_add_setting_options
@click.command()
def entry(**options: str | None) -> None:
    """
    Run the process of an entry VM until it is stopped.

    Every setting is a flag and an environment variable; the flag overrides the
    variable. SIGTERM and SIGINT stop the entry after its last request is
    served, even if sent twice. SIGQUIT aborts the requests in flight.
    """
    provided = {
        name: text for name, text in options.items() if text is not None
    }
    settings = check_settings(EntrySettings, provided)
    configure_logging(settings.log_level, settings.name)
    _warn_of_unknown_variables()
    with asyncio.Runner(
        loop_factory=loop_factory(settings.event_loop),
    ) as runner:
        is_graceful = runner.run(run_entry(settings))
    if not is_graceful:
        sys.exit(ExitStatus.CUT_OFF)


def _warn_of_unknown_variables() -> None:
    commands = click.get_current_context().find_root().command
    assert isinstance(commands, click.Group)
    known = [variable_of(name) for name in EntrySettings.model_fields]
    prefixes = tuple(
        f'{VARIABLE_PREFIX}{name.upper()}_'
        for name in commands.list_commands(click.get_current_context())
    )
    unknown = unknown_variables(
        os.environ,
        (*known, AUTHOR_VARIABLE),
        prefixes,
    )
    for name, closest in unknown.items():
        log_event(LogEvent.VARIABLE_UNKNOWN, variable=name, closest=closest)
