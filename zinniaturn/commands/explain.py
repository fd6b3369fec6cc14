"""Implements ``zinniaturn explain``, which explains decisions."""

__all__ = ('explain',)

import asyncio
import sys
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import BinaryIO

import click
import msgspec

from zinniaturn.commands.exit_status import ExitStatus
from zinniaturn.commands.options import (
    entries_option,
    json_option,
    optional_store_option,
)
from zinniaturn.commands.output import print_json
from zinniaturn.commands.stores import open_optional_store
from zinniaturn.commands.where import where
from zinniaturn.explain.logs import explain_from_logs, read_rows
from zinniaturn.explain.messages import Explanation, ExplanationLine
from zinniaturn.explain.queries import Subject, SubjectKind
from zinniaturn.explain.reading import fetch_explanations
from zinniaturn.status import find_admins


class ExplainOutput(msgspec.Struct):
    """The decisions on a subject from all entries or logs that were read."""

    kind: str
    name: str
    entries: list[str]
    lines: list[ExplanationLine]


def _subject_command(kind: SubjectKind) -> click.Command:
    """Return the command that explains how a subject was treated."""

    @click.command(
        kind.value,
        # The variables keep the names that they had with one command.
        context_settings={'auto_envvar_prefix': 'ZINNIATURN_EXPLAIN'},
        help=(
            f'Explain how the {kind.value} NAME was treated and why. Entries '
            'keep only their latest decisions, in memory; --logs reads logs of '
            'gateway processes instead. The exit status is 1 if nothing is '
            'known of it.'
        ),
    )
    @click.argument('name')
    @optional_store_option
    @entries_option
    @click.option(
        '--logs',
        type=click.File('rb'),
        multiple=True,
        help='A log of a gateway process, - for standard input; may be '
        'repeated. Entries are then not queried.',
    )
    @json_option
    def explain_subject(
        name: str,
        store_url: str,
        entries: Sequence[str],
        logs: Sequence[BinaryIO],
        as_json: bool,
    ) -> None:
        _explain_subject(Subject(kind, name), store_url, entries, logs, as_json)

    return explain_subject


def _explain_subject(
    subject: Subject,
    store_url: str,
    entries: Sequence[str],
    logs: Sequence[BinaryIO],
    as_json: bool,
) -> None:
    kind = subject.kind.value
    name = subject.name
    if logs:
        rows = read_rows(line for log in logs for line in log)
        lines = explain_from_logs(rows, subject)
        output = ExplainOutput(kind, name, [log.name for log in logs], lines)
    else:
        explanations = asyncio.run(
            _fetch_explanations(store_url, entries, subject)
        )
        output = ExplainOutput(
            kind,
            name,
            [explanation.entry for explanation in explanations],
            _merge_lines(explanations),
        )
    if as_json:
        print_json(output)
    else:
        _print_lines(output)
    if not output.lines:
        sys.exit(ExitStatus.CHECK_FAILED)


async def _fetch_explanations(
    store_url: str,
    entries: Sequence[str],
    subject: Subject,
) -> list[Explanation]:
    async with open_optional_store(store_url) as store:
        admins = await find_admins(store, entries)
    return await fetch_explanations(admins, subject)


def _merge_lines(explanations: Sequence[Explanation]) -> list[ExplanationLine]:
    lines = [line for explanation in explanations for line in explanation.lines]
    return sorted(lines, key=lambda line: line.at)


def _print_lines(output: ExplainOutput) -> None:
    for line in output.lines:
        moment = datetime.fromtimestamp(line.at, UTC)
        text = moment.isoformat(timespec='milliseconds')
        click.echo(f'{text} {line.entry}: {line.sentence}')
    if not output.lines:
        sources = ', '.join(output.entries)
        click.echo(
            f'no decision on {output.kind} {output.name} is known at '
            f'{sources}; entries keep only their latest decisions',
        )


explain = click.Group(
    'explain',
    help='Explain what was or would be done with requests, and why.',
    commands=[where, *map(_subject_command, SubjectKind)],
)
